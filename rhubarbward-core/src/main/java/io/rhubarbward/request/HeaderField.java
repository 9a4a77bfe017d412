package io.rhubarbward.request;

/**
 * An HTTP header field.
 *
 * @param name the name, which is case-insensitive
 * @param value the value
 */
public record HeaderField(String name, String value) {}
