package io.rhubarbward.replay;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/**
 * The first line of a trace.
 *
 * @param format always {@link #FORMAT}
 * @param version always {@link #VERSION}
 * @param site the site's name
 * @param seed what the trace was made from, or 0 for a recorded one
 * @param routers the routers at the start: VM to data centre
 * @param settings the settings in force at the start
 * @param vmListLagMillis how old the VM list is
 * @param coldBears requests that an engine in cold start truly bears at once
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
                    "trace of " + format + " " + version + ": expected " + FORMAT + " " + VERSION);
        }
        routers = Map.copyOf(routers);
    }
}
