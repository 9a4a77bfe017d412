package io.rhubarbward.config;

import java.util.List;
import java.util.Map;

/**
 * Where a generation is in force and where it is not.
 *
 * @param generation the generation asked about
 * @param dataCentres one entry for each data centre that reports
 */
public record GenerationReport(long generation, List<DataCentreReport> dataCentres) {
    public GenerationReport {
        dataCentres = List.copyOf(dataCentres);
    }

    static GenerationReport of(long generation, List<DataCentreStatus> statuses) {
        return new GenerationReport(
                generation,
                statuses.stream().map(status -> DataCentreReport.of(generation, status)).toList());
    }

    /** Returns whether at least one router reports, and every one has the generation in force. */
    public boolean inForceEverywhere() {
        return !dataCentres.isEmpty()
                && dataCentres.stream().allMatch(report -> report.behind().isEmpty());
    }

    /**
     * One data centre's part.
     *
     * @param dataCentre its name
     * @param epochMillis when it reported, by its writer's wall clock
     * @param routers how many routers it has
     * @param behind the routers with a lower generation in force, and which
     */
    public record DataCentreReport(
            String dataCentre, long epochMillis, int routers, Map<String, Long> behind) {
        public DataCentreReport {
            behind = Map.copyOf(behind);
        }

        static DataCentreReport of(long generation, DataCentreStatus status) {
            Map<String, Long> behind = new java.util.TreeMap<>(status.generations());
            behind.values().removeIf(inForce -> inForce >= generation);
            return new DataCentreReport(
                    status.dataCentre(), status.epochMillis(), status.generations().size(), behind);
        }
    }
}
