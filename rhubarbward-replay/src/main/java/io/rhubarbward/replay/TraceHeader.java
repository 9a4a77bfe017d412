package io.rhubarbward.replay;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/**
 * The first line of a trace: the initial state of the site.
 *
 * @param format always {@link #FORMAT}
 * @param version always {@link #VERSION}
 * @param site the site's name
 * @param seed the seed that the trace was generated from, or 0 for a recorded one
 * @param routers the data centre of each initial router, by VM name
 * @param settings the overlay that is applied at the start
 * @param vmListLagMillis the time after which a change of a VM shows in the VM list
 * @param coldBears concurrent requests that a server in cold start can really carry; more break
 *     {@link Promise#COLD_SPARED}, whatever the settings allow
 */
public record TraceHeader(
        String format,
        int version,
        String site,
        long seed,
        Map<String, String> routers,
        ObjectNode settings,
        int vmListLagMillis,
        int coldBears) {
    /** The name of the format. */
    public static final String FORMAT = "rhubarbward-trace";

    /** The version of the format that this program reads and writes. */
    public static final int VERSION = 1;

    public TraceHeader {
        if (!format.equals(FORMAT) || version != VERSION) {
            throw new IllegalArgumentException(
                    "trace format "
                            + format
                            + " version "
                            + version
                            + " cannot be read: expected format "
                            + FORMAT
                            + " version "
                            + VERSION);
        }
        routers = Map.copyOf(routers);
    }
}
