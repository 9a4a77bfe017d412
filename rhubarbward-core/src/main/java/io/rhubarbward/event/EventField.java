package io.rhubarbward.event;

/**
 * A named value of a logged event.
 *
 * @param name what the value is
 * @param value the value, shown by its {@code toString}
 */
public record EventField(String name, Object value) {
    /** Returns a field with the name and value. */
    public static EventField of(String name, Object value) {
        return new EventField(name, value);
    }
}
