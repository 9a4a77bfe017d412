package io.rhubarbward.net.backend;

import io.rhubarbward.request.BackendCall;
import io.rhubarbward.request.BackendClient;
import io.rhubarbward.request.BackendListener;
import io.rhubarbward.request.BackendRequest;
import io.rhubarbward.timer.TimerService;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.RequestBuilder;

/** Sends requests to backend servers by AsyncHttpClient. */
public final class AsyncBackendClient implements BackendClient {
    private final AsyncHttpClient mClient;
    private final TimerService mTimers;

    /** Sends by the client and calls back on the timer service's thread. */
    public AsyncBackendClient(AsyncHttpClient client, TimerService timers) {
        mClient = client;
        mTimers = timers;
    }

    @Override
    public BackendCall send(BackendRequest request, BackendListener listener) {
        RequestBuilder builder =
                new RequestBuilder(request.method(), true)
                        .setUrl("http://" + request.server().address() + request.target());
        request.headers().fields().forEach(field -> builder.addHeader(field.name(), field.value()));
        if (request.body().hasRemaining()) {
            builder.setBody(request.body());
        }
        BackendExchange exchange = new BackendExchange(listener, mTimers);
        exchange.attach(mClient.executeRequest(builder.build(), exchange));
        return exchange;
    }
}
