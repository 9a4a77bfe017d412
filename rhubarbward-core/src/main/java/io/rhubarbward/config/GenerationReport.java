package io.rhubarbward.config;

import java.util.List;
import java.util.Map;

/**
 * Which routers have a generation in force, and which are behind it.
 *
 * @param generation the generation that is reported on
 * @param dataCentres the reports of the data centres that have a status
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
     * The report of one data centre.
     *
     * @param dataCentre the data centre's name
     * @param epochMillis when its status was written, by the writer's wall clock
     * @param routers the number of its routers
     * @param behind the generations of the routers that have a lower one in force, by router
     */
    public record DataCentreReport(
            String dataCentre, long epochMillis, int routers, Map<String, Long> behind) {
        public DataCentreReport {
            behind = Map.copyOf(behind);
        }

        static DataCentreReport of(long generation, DataCentreStatus status) {
            Map<String, Long> behind = new java.util.TreeMap<>(status.generations());
            behind.values().removeIf(routerGeneration -> routerGeneration >= generation);
            return new DataCentreReport(
                    status.dataCentre(), status.epochMillis(), status.generations().size(), behind);
        }
    }
}
