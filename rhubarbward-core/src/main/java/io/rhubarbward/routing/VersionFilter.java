package io.rhubarbward.routing;

import io.rhubarbward.config.BackendServer;

/** Decides which versions of a service a request may go to, as while a rollout is under way. */
@FunctionalInterface
public interface VersionFilter {
    /** Admits every version. */
    VersionFilter ALL = (server, query) -> true;

    /** Returns whether the request may go to the backend server's version. */
    boolean admits(BackendServer server, RouteQuery query);
}
