package io.rhubarbward.daemon;

import io.rhubarbward.net.http.HttpHandler;
import io.rhubarbward.net.http.JsonResponses;
import io.rhubarbward.node.RouterNode;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import java.util.Map;

/** Answers the balancer's checks and hands everything else to the router. */
final class CallerEndpoint implements HttpHandler {
    static final String HEALTH = "/-/health";
    static final String READY = "/-/ready";
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final RouterNode mNode;

    CallerEndpoint(RouterNode node) {
        mNode = node;
    }

    @Override
    public CallerListener handle(CallerRequest request, CallerResponse response) {
        return switch (request.path()) {
            case HEALTH -> JsonResponses.send(response, OK, Map.of("alive", true));
            case READY ->
                    JsonResponses.send(
                            response,
                            mNode.ready() ? OK : UNAVAILABLE,
                            Map.of("ready", mNode.ready()));
            default -> mNode.serve(request, response);
        };
    }
}
