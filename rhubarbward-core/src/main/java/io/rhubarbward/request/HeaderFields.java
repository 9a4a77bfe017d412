package io.rhubarbward.request;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * The header fields of an HTTP request or answer.
 *
 * @param fields the fields, in order
 */
public record HeaderFields(List<HeaderField> fields) {
    /** An empty list of fields. */
    public static final HeaderFields NONE = new HeaderFields(List.of());

    public HeaderFields {
        fields = List.copyOf(fields);
    }

    /** Returns a list of one field. */
    public static HeaderFields of(String name, String value) {
        return new HeaderFields(List.of(new HeaderField(name, value)));
    }

    /** Returns the value of the first field with the name. */
    public Optional<String> first(String name) {
        return fields.stream()
                .filter(field -> field.name().equalsIgnoreCase(name))
                .map(HeaderField::value)
                .findFirst();
    }

    /** Returns these fields followed by one more. */
    public HeaderFields with(String name, String value) {
        return new HeaderFields(
                Stream.concat(fields.stream(), Stream.of(new HeaderField(name, value))).toList());
    }

    /** Returns these fields followed by the others. */
    public HeaderFields and(HeaderFields others) {
        return new HeaderFields(Stream.concat(fields.stream(), others.fields().stream()).toList());
    }

    /** Returns these fields except for those that match the predicate. */
    public HeaderFields without(Predicate<HeaderField> dropped) {
        return new HeaderFields(fields.stream().filter(dropped.negate()).toList());
    }
}
