package io.rhubarbward.store;

import io.vavr.control.Either;
import java.util.function.Supplier;

/**
 * An object of the store with its decoded value.
 *
 * @param name the object's name within its kind
 * @param revision the store's revision at the object's last change
 * @param value the decoded value, or why it cannot be decoded
 * @param text returns the object as the store sent it, from which {@link ObjectKind#decode} decodes
 *     the same value again
 * @param <T> the type of the decoded value
 */
public record DecodedObject<T>(
        String name, StoreRevision revision, Either<String, T> value, Supplier<String> text) {}
