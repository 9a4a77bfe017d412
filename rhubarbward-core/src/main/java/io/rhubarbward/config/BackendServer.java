package io.rhubarbward.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.net.URI;

/**
 * A backend server that runs a service's requests.
 *
 * @param name unique within the site
 * @param service the service it belongs to
 * @param dataCentre where it runs
 * @param address host and port
 * @param version the version it runs
 * @param fencing whether it refuses orders with an old fencing number
 */
public record BackendServer(
        String name,
        String service,
        String dataCentre,
        String address,
        String version,
        Fencing fencing) {
    public BackendServer {
        SettingCheck.that(
                "address",
                address,
                URI.create("http://" + address).getPort() > 0,
                "host:port, such as 10.0.0.7:8000");
    }

    /** What a backend server does with an order that carries an old fencing number. */
    public enum Fencing {
        @JsonProperty("refuses-old")
        REFUSES_OLD,
        @JsonProperty("ignores")
        IGNORES
    }
}
