package io.rhubarbward.event;

/**
 * A named value of a logged event.
 *
 * @param name the name of the field in the log
 * @param value the value, written as its {@code toString}; JSON logs write integers and booleans as
 *     such
 */
public record EventField(String name, Object value) {
    /** Returns a field with the name and value. */
    public static EventField of(String name, Object value) {
        return new EventField(name, value);
    }
}
