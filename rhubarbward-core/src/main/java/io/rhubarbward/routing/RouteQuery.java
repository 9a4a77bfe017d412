package io.rhubarbward.routing;

import io.rhubarbward.config.Service;
import java.util.Optional;

/**
 * The properties of a request that routing depends on.
 *
 * @param service the service that the request is for
 * @param chat the chat it belongs to, if any
 * @param homeDataCentre the router's own data centre
 */
public record RouteQuery(Service service, Optional<String> chat, String homeDataCentre) {}
