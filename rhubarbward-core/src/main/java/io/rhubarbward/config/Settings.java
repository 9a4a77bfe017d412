package io.rhubarbward.config;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * All settings of a site: the defaults, the base file and the site's overlay, merged and checked.
 *
 * <p>{@code defaults.json} beside this class states each setting's default and unit.
 *
 * @param site the site's name
 * @param listener limits on what callers send
 * @param request limits on one exchange
 * @param drain the planned stop of a router
 * @param routing how requests are spread
 * @param quota how shared limits are leased
 * @param admission what happens when all backend servers are full or failing
 * @param control what a router may spend on control
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

    /** Returns the data centre with the name, if the settings know it. */
    public Optional<DataCentre> dataCentre(String name) {
        return Optional.ofNullable(dataCentres.get(name));
    }

    /** Returns whether the data centre is known and takes new work. */
    public boolean takesWork(String dataCentre) {
        return dataCentre(dataCentre).map(DataCentre::takesWork).orElse(false);
    }

    /** Returns the services whose path prefix is the longest that the path starts with. */
    public List<Service> servicesFor(String path) {
        int longest =
                services.values().stream()
                        .map(Service::pathPrefix)
                        .filter(path::startsWith)
                        .mapToInt(String::length)
                        .max()
                        .orElse(0);
        return services.values().stream()
                .filter(service -> service.pathPrefix().length() == longest)
                .filter(service -> path.startsWith(service.pathPrefix()))
                .toList();
    }
}
