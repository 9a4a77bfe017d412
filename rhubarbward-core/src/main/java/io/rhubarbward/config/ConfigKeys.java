package io.rhubarbward.config;

import io.rhubarbward.store.ObjectKey;

/** The keys of the stored objects that hold the configuration and its status. */
final class ConfigKeys {
    static final ObjectKey HEAD = ObjectKey.of("config/head");
    static final ObjectKey GARBAGE_MARKS = ObjectKey.of("config/garbage");
    static final String CHUNK_PREFIX = "config-chunks/";
    static final String STATUS_PREFIX = "status/config/";

    private ConfigKeys() {}

    static ObjectKey chunk(String sha256) {
        return ObjectKey.of(CHUNK_PREFIX + sha256);
    }

    static ObjectKey status(String dataCentre) {
        return ObjectKey.of(STATUS_PREFIX + dataCentre);
    }
}
