package io.rhubarbward.config;

import io.rhubarbward.platform.ObjectKey;

/** The names of the objects that hold configuration. */
final class ConfigKeys {
    static final ObjectKey HEAD = ObjectKey.of("config/head");

    private ConfigKeys() {}

    static ObjectKey chunk(String sha256) {
        return ObjectKey.of("config-chunks/" + sha256);
    }
}
