package io.rhubarbward.store;

import org.jspecify.annotations.Nullable;

/**
 * A VM in the platform's list.
 *
 * @param name unique name; the replacement of a VM has another
 * @param dataCentre the data centre in which it runs
 * @param role whether a router or a backend server runs on it
 * @param address host and port: a router's listener for peers, or a backend server's service
 *     listener
 * @param state whether it is live or being shut down
 * @param service the service a backend server belongs to; null for routers
 * @param version the version a backend server runs; null for routers
 */
public record Vm(
        String name,
        String dataCentre,
        Role role,
        String address,
        State state,
        @Nullable String service,
        @Nullable String version) {
    public Vm {
        if (role == Role.BACKEND && (service == null || version == null)) {
            throw new IllegalArgumentException(
                    "VM " + name + " is a backend: expected a service and a version");
        }
    }

    /** The software that runs on a VM. */
    public enum Role {
        ROUTER,
        BACKEND
    }

    /** Whether a VM is live or being shut down. */
    public enum State {
        LIVE,
        LEAVING
    }
}
