package io.rhubarbward.routing;

import io.rhubarbward.config.BackendServer;

/** Says which versions a request may go to while a rollout is under way. */
@FunctionalInterface
public interface VersionFilter {
    /** Admits every version. */
    VersionFilter ALL = (server, query) -> true;

    /** Returns whether the request may go to the backend server's version. */
    boolean admits(BackendServer server, RouteQuery query);
}
