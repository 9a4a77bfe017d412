package io.rhubarbward.config;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * All settings of a site: the defaults, the base file, the site's overlay and the overrides, merged
 * and validated.
 *
 * <p>{@code defaults.json} beside this class states each setting's default and unit.
 *
 * @param site the site's name
 * @param listener limits on the requests that callers send
 * @param request limits on a single request and its answer
 * @param drain how a router drains before a planned stop
 * @param routing how requests are spread over backend servers
 * @param quota how routers lease shares of limits
 * @param admission limits on queueing and on retries
 * @param control limits on a router's control traffic
 * @param dataCentres the data centres by name
 * @param accounts the client accounts by name
 * @param services the services by name
 * @param backendServers the backend servers declared in the settings, by name; the platform's VM
 *     list adds others
 */
public record Settings(
        String site,
        ListenerSettings listener,
        RequestSettings request,
        DrainSettings drain,
        RoutingSettings routing,
        QuotaSettings quota,
        AdmissionSettings admission,
        ControlSettings control,
        Map<String, DataCentre> dataCentres,
        Map<String, ClientAccount> accounts,
        Map<String, Service> services,
        Map<String, BackendServer> backendServers) {
    public Settings {
        dataCentres = Map.copyOf(dataCentres);
        accounts = Map.copyOf(accounts);
        services = Map.copyOf(services);
        backendServers = Map.copyOf(backendServers);
    }

    /** Returns the data centre with the name, if the settings contain it. */
    public Optional<DataCentre> dataCentre(String name) {
        return Optional.ofNullable(dataCentres.get(name));
    }

    /** Returns whether the settings contain the data centre and it takes new work. */
    public boolean takesWork(String dataCentre) {
        return dataCentre(dataCentre).map(DataCentre::takesWork).orElse(false);
    }

    /** Returns the services that have the longest path prefix that matches the path. */
    public List<Service> servicesFor(String path) {
        int longestPrefixLength =
                services.values().stream()
                        .map(Service::pathPrefix)
                        .filter(path::startsWith)
                        .mapToInt(String::length)
                        .max()
                        .orElse(0);
        return services.values().stream()
                .filter(service -> service.pathPrefix().length() == longestPrefixLength)
                .filter(service -> path.startsWith(service.pathPrefix()))
                .toList();
    }
}
