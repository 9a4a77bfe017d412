package io.rhubarbward.store;

/**
 * A versioned object in the platform's store.
 *
 * @param key the object's key
 * @param value the content, at most {@link ObjectStore#MAX_VALUE_BYTES} in UTF-8
 * @param version positive number that increases with each write of the object
 */
public record StoredObject(ObjectKey key, String value, long version) {
    public StoredObject {
        if (version <= 0) {
            throw new IllegalArgumentException("object version " + version + ": expected above 0");
        }
    }
}
