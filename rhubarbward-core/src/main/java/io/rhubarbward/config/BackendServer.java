package io.rhubarbward.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.net.URI;
import java.net.URISyntaxException;

/**
 * A backend server, which runs the requests of one service.
 *
 * @param name unique within the site
 * @param service the name of the service whose requests it runs
 * @param dataCentre the name of the data centre where it runs
 * @param address host and port, as {@code host:port}
 * @param version the software version that it runs
 * @param fencing whether it refuses role orders that carry an outdated fencing number
 */
public record BackendServer(
        String name,
        String service,
        String dataCentre,
        String address,
        String version,
        Fencing fencing) {
    private static final int MAX_PORT = 65_535;

    public BackendServer {
        SettingCheck.require(
                "address", address, isAddress(address), "host:port, such as 10.0.0.7:8000");
    }

    /** Returns whether the text is a host and a port to which a connection can be opened. */
    public static boolean isAddress(String text) {
        try {
            URI uri = new URI("http://" + text);
            return uri.getHost() != null
                    && uri.getPort() > 0
                    && uri.getPort() <= MAX_PORT
                    && uri.getRawAuthority().equals(text)
                    && uri.getUserInfo() == null;
        } catch (URISyntaxException e) {
            return false;
        }
    }

    /** What a backend server does with a role order that carries an outdated fencing number. */
    public enum Fencing {
        @JsonProperty("refuses-old")
        REFUSES_OLD,
        @JsonProperty("ignores")
        IGNORES
    }
}
