package io.rhubarbward.request;

/**
 * One header field.
 *
 * @param name its name; case does not matter
 * @param value its value
 */
public record HeaderField(String name, String value) {}
