package io.rhubarbward.request;

import io.rhubarbward.config.CurrentConfiguration;
import io.rhubarbward.config.Settings;
import io.rhubarbward.state.StateSource;
import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Serves callers' requests.
 *
 * <pre>{@code
 * CallerListener exchange = requests.serve(request, response);
 * exchange.onGone();
 * }</pre>
 *
 * <p>All calls are made on the timer service's thread.
 */
public final class RequestService implements StateSource {
    private static final long RETRY_AFTER_MILLIS = 1000;
    private static final CallerListener DEAF =
            new CallerListener() {
                @Override
                public void onWritable(boolean writable) {}

                @Override
                public void onGone() {}
            };

    private final CurrentConfiguration mConfiguration;
    private final ExchangeContext mContext;
    private final RequestGate mGate;
    private final Set<Exchange> mOpen = new HashSet<>();
    private boolean mDraining;

    /** Serves under the configuration in force. */
    public RequestService(CurrentConfiguration configuration, ExchangeContext context) {
        mConfiguration = configuration;
        mContext = context;
        mGate = new RequestGate(context.admission());
    }

    /** Serves the request; the returned listener is told of the caller's connection. */
    public CallerListener serve(CallerRequest request, CallerResponse response) {
        Optional<Settings> settings = mConfiguration.settings();
        if (mDraining || settings.isEmpty()) {
            RefusalCode code = mDraining ? RefusalCode.DRAINING : RefusalCode.NOT_READY;
            return refuse(new Refusal(code, code.title(), RETRY_AFTER_MILLIS), response);
        }
        Either<Refusal, AcceptedRequest> checked = mGate.check(request, settings.get());
        return checked.fold(
                refusal -> refuse(refusal, response), accepted -> open(accepted, response));
    }

    /** Refuses every request that comes from now on; open ones go on. */
    public void drain() {
        mDraining = true;
    }

    /** Returns the number of requests that are being served. */
    public int open() {
        return mOpen.size();
    }

    private CallerListener refuse(Refusal refusal, CallerResponse response) {
        mContext.metrics().refused(refusal.code());
        refusal.sendTo(response);
        return DEAF;
    }

    private CallerListener open(AcceptedRequest accepted, CallerResponse response) {
        Exchange[] self = new Exchange[1];
        Exchange exchange = new Exchange(accepted, response, mContext, () -> close(self[0]));
        self[0] = exchange;
        mOpen.add(exchange);
        mContext.metrics().open(mOpen.size());
        exchange.start();
        return exchange;
    }

    private void close(Exchange exchange) {
        mOpen.remove(exchange);
        mContext.metrics().open(mOpen.size());
    }

    @Override
    public String name() {
        return "request";
    }

    @Override
    public Object state() {
        return Map.of("open", mOpen.size(), "draining", mDraining);
    }
}
