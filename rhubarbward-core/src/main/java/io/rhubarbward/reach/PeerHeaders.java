package io.rhubarbward.reach;

import io.rhubarbward.request.HeaderFields;
import java.util.Locale;
import java.util.Set;

/** The header fields by which routers forward requests to each other. */
public final class PeerHeaders {
    /** In a forwarded request: the VM name of the router that the caller is connected to. */
    public static final String FORWARDED_BY = "router-forwarded-by";

    /** In a query whether a router forwards requests: the VM name of the router that asks. */
    public static final String QUERY_BY = "router-query-by";

    /**
     * In a forwarded request: the lowest version of the catalogue to serve it by. In an answer to a
     * query: the version in force.
     */
    public static final String CATALOG_VERSION = "router-catalog-version";

    /** In a forwarded request: the number of servers that may still run it. */
    public static final String ATTEMPTS_LEFT = "router-attempts-left";

    /** In an answer to a query: the number of requests that the router is serving. */
    public static final String OPEN_REQUESTS = "router-open-requests";

    /** In a router's own refusal of a forwarded request: see {@link PeerRefusal}. */
    public static final String REFUSAL = "router-refusal";

    /** In an answer of a backend server that leaves: a hash that names its incarnation. */
    public static final String SERVER = "router-server";

    private static final Set<String> ALL =
            Set.of(
                    FORWARDED_BY,
                    QUERY_BY,
                    CATALOG_VERSION,
                    ATTEMPTS_LEFT,
                    OPEN_REQUESTS,
                    REFUSAL,
                    SERVER);

    private PeerHeaders() {}

    /** Returns the fields without those of this protocol. */
    public static HeaderFields strip(HeaderFields headers) {
        return headers.without(field -> ALL.contains(field.name().toLowerCase(Locale.ROOT)));
    }
}
