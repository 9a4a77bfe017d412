package io.rhubarbward.forward;

import io.rhubarbward.catalog.Catalog;
import io.rhubarbward.catalog.KeyedAccount;
import io.rhubarbward.catalog.Route;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.Refusal;
import io.rhubarbward.request.RefusalCode;
import io.vavr.control.Either;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Checks a request against the catalogue in force. */
final class ForwardGate {
    /**
     * When to come back while this router cannot judge: it learns within a second or is taken out.
     */
    private static final long UNSURE_RETRY_MILLIS = 300;

    private final ForwardContext mContext;

    ForwardGate(ForwardContext context) {
        mContext = context;
    }

    Either<Refusal, ForwardRequest> check(CallerRequest request, RequestMetadata facts) {
        return mContext.catalog()
                .current()
                .<Either<Refusal, ForwardRequest>>map(catalog -> check(request, facts, catalog))
                .orElseGet(() -> unsure("no configuration was read yet"));
    }

    private Either<Refusal, ForwardRequest> check(
            CallerRequest request, RequestMetadata facts, Catalog catalog) {
        Optional<Route> route = catalog.route(facts.host(), request.path());
        if (route.isEmpty()) {
            return unknown(RefusalCode.UNKNOWN_PATH, "no route serves " + facts.host());
        }
        if (route.get().allowsAnonymous() || !catalog.hasApiKeys()) {
            return accept(request, facts, catalog, route.get(), null);
        }
        if (!mContext.freshness().mayTrustKeys()) {
            return unsure("the configuration is not confirmed, so that no key can be trusted");
        }
        return facts.key()
                .flatMap(catalog::account)
                .map(account -> accept(request, facts, catalog, route.get(), account))
                .orElseGet(() -> unknown(RefusalCode.UNAUTHENTICATED, "the key is not known"));
    }

    private Either<Refusal, ForwardRequest> accept(
            CallerRequest request,
            RequestMetadata facts,
            Catalog catalog,
            Route route,
            @Nullable KeyedAccount account) {
        String service = route.service(ForwardRequest.point("split/" + facts.attemptId()));
        return catalog.service(service)
                .<Either<Refusal, ForwardRequest>>map(
                        profile ->
                                Either.right(
                                        new ForwardRequest(
                                                request, facts, route, profile, account)))
                .orElseGet(() -> unsure("service " + service + " is not configured"));
    }

    /** What an old catalogue does not hold may stand in a newer one. */
    private Either<Refusal, ForwardRequest> unknown(RefusalCode code, String detail) {
        return mContext.freshness().current()
                ? Either.left(Refusal.of(code, detail))
                : unsure(detail + " in the last configuration that was read");
    }

    private static Either<Refusal, ForwardRequest> unsure(String detail) {
        return Either.left(new Refusal(RefusalCode.NOT_READY, detail, UNSURE_RETRY_MILLIS));
    }
}
