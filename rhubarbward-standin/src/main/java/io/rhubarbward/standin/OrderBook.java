package io.rhubarbward.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.rhubarbward.move.EngineOrder;
import io.rhubarbward.net.http.JsonResponses;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import org.jspecify.annotations.Nullable;

/** The order under which a stand-in engine is; it refuses orders with an old fencing number. */
final class OrderBook {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final int NO_ORDER = 404;
    private static final int OLD_FENCE = 409;

    private @Nullable EngineOrder mOrder;

    CallerListener handle(CallerRequest request, CallerResponse response)
            throws JsonProcessingException {
        EngineOrder held = mOrder;
        if (request.method().equals("GET")) {
            return held == null
                    ? JsonResponses.send(response, NO_ORDER, "text/plain", "no order")
                    : JsonResponses.send(response, OK, held);
        }
        EngineOrder order = MAPPER.readValue(QueryText.body(request), EngineOrder.class);
        if (held != null && order.fence() < held.fence()) {
            return JsonResponses.send(response, OLD_FENCE, held);
        }
        mOrder = order;
        return JsonResponses.send(response, OK, order);
    }
}
