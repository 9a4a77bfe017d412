package io.rhubarbward.store;

import io.vavr.control.Either;

/**
 * One decoded object.
 *
 * @param name its name within its kind
 * @param revision the store's revision of its last change
 * @param value what it says, or why it cannot be read
 * @param <T> what an object says
 */
public record DecodedObject<T>(String name, long revision, Either<String, T> value) {}
