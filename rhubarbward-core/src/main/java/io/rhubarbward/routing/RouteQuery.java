package io.rhubarbward.routing;

import io.rhubarbward.config.Service;
import java.util.Optional;

/**
 * What a request needs of a backend server.
 *
 * @param service the service it is for
 * @param chat the chat it belongs to, if any
 * @param homeDataCentre the router's own data centre
 */
public record RouteQuery(Service service, Optional<String> chat, String homeDataCentre) {}
