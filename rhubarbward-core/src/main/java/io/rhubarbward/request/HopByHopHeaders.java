package io.rhubarbward.request;

import java.util.Arrays;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;

/** Removes hop-by-hop header fields, which a proxy must not forward (RFC 9110, 7.6.1). */
public final class HopByHopHeaders {
    private static final Set<String> NAMES =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect");

    private HopByHopHeaders() {}

    /** Returns the end-to-end fields, which are forwarded. */
    public static HeaderFields strip(HeaderFields headers) {
        Set<String> namesInConnection =
                headers.fields().stream()
                        .filter(field -> field.name().equalsIgnoreCase("connection"))
                        .flatMap(field -> Arrays.stream(field.value().split(",")))
                        .map(name -> name.strip().toLowerCase(Locale.ROOT))
                        .collect(Collectors.toSet());
        return headers.without(
                field -> {
                    String name = field.name().toLowerCase(Locale.ROOT);
                    return NAMES.contains(name) || namesInConnection.contains(name);
                });
    }
}
