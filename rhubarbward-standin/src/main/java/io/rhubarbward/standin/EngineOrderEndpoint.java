package io.rhubarbward.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.rhubarbward.move.EngineOrder;
import io.rhubarbward.net.http.JsonResponses;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import org.jspecify.annotations.Nullable;

/**
 * The endpoint through which a stand-in engine takes orders: GET returns the current order, POST
 * replaces it. An order with a lower fencing number than the current one is refused with 409 and
 * the current order.
 */
final class EngineOrderEndpoint {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;

    private @Nullable EngineOrder mCurrentOrder;

    CallerListener handle(CallerRequest request, CallerResponse response)
            throws JsonProcessingException {
        EngineOrder current = mCurrentOrder;
        if (request.method().equals("GET")) {
            return current == null
                    ? JsonResponses.send(response, NOT_FOUND, "text/plain", "no order")
                    : JsonResponses.send(response, OK, current);
        }
        EngineOrder order = MAPPER.readValue(RequestReader.body(request), EngineOrder.class);
        if (current != null && order.fence() < current.fence()) {
            return JsonResponses.send(response, CONFLICT, current);
        }
        mCurrentOrder = order;
        return JsonResponses.send(response, OK, order);
    }
}
