package io.rhubarbward.move;

import io.rhubarbward.membership.PeerMessage;
import java.util.List;
import java.util.Set;

/**
 * A router's report to the controller: its call counts since the last report, and its stops.
 *
 * @param sequence grows with each report of the sender's process; detects repeated deliveries
 * @param rows the counts, one for each rollout and route
 * @param stopped the rollouts that the sender has stopped
 */
public record VersionReport(long sequence, List<Row> rows, Set<String> stopped)
        implements PeerMessage {
    public VersionReport {
        rows = List.copyOf(rows);
        stopped = Set.copyOf(stopped);
    }

    /**
     * The counts of one rollout on one route.
     *
     * @param rollout the rollout's name
     * @param route the path prefix
     * @param counts both versions' figures
     */
    public record Row(String rollout, String route, PairedFigures counts) {}
}
