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
 * Serves callers' requests: validates each one and starts an exchange for it.
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

    /** Ignores the connection events of a request that has already been answered. */
    private static final CallerListener NO_OP_LISTENER =
            new CallerListener() {
                @Override
                public void onWritable(boolean writable) {}

                @Override
                public void onGone() {}
            };

    private final CurrentConfiguration mConfiguration;
    private final ExchangeContext mContext;
    private final RequestValidator mValidator;
    private final Set<Exchange> mOpenExchanges = new HashSet<>();
    private boolean mRefusesNew;

    /** Creates a service that reads the configuration in force for each request. */
    public RequestService(CurrentConfiguration configuration, ExchangeContext context) {
        mConfiguration = configuration;
        mContext = context;
        mValidator = new RequestValidator(context.admission());
    }

    /** Serves the request; the returned listener expects the events of the caller's connection. */
    public CallerListener serve(CallerRequest request, CallerResponse response) {
        Optional<Settings> settings = mConfiguration.settings();
        if (mRefusesNew || settings.isEmpty()) {
            RefusalCode code = mRefusesNew ? RefusalCode.DRAINING : RefusalCode.NOT_READY;
            return refuse(new Refusal(code, code.title(), RETRY_AFTER_MILLIS), response);
        }
        Either<Refusal, AcceptedRequest> validated = mValidator.validate(request, settings.get());
        return validated.fold(
                refusal -> refuse(refusal, response), accepted -> start(accepted, response));
    }

    /** Refuses new requests from now on; open requests continue. */
    public void drain() {
        mRefusesNew = true;
    }

    /** Returns the number of exchanges that are not closed. */
    public int openRequests() {
        return mOpenExchanges.size();
    }

    private CallerListener refuse(Refusal refusal, CallerResponse response) {
        mContext.metrics().countRefused(refusal.code());
        refusal.sendTo(response);
        return NO_OP_LISTENER;
    }

    private CallerListener start(AcceptedRequest accepted, CallerResponse response) {
        Exchange[] holder = new Exchange[1];
        Exchange exchange = new Exchange(accepted, response, mContext, () -> close(holder[0]));
        holder[0] = exchange;
        mOpenExchanges.add(exchange);
        mContext.metrics().setOpenRequests(mOpenExchanges.size());
        exchange.start();
        return exchange;
    }

    private void close(Exchange exchange) {
        mOpenExchanges.remove(exchange);
        mContext.metrics().setOpenRequests(mOpenExchanges.size());
    }

    @Override
    public String name() {
        return "request";
    }

    @Override
    public Object state() {
        return Map.of("open", mOpenExchanges.size(), "draining", mRefusesNew);
    }
}
