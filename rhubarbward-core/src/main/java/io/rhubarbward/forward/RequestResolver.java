package io.rhubarbward.forward;

import io.rhubarbward.catalog.Catalog;
import io.rhubarbward.catalog.KeyedAccount;
import io.rhubarbward.catalog.Route;
import io.rhubarbward.hash.RendezvousHash;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.Refusal;
import io.rhubarbward.request.RefusalCode;
import io.vavr.control.Either;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Finds the route, service and account of a request in the catalogue, or refuses the request. */
final class RequestResolver {
    /**
     * Retry-after while this router cannot decide: within a second, it reads the configuration or
     * is taken out of load balancing.
     */
    private static final long NOT_READY_RETRY_MILLIS = 300;

    private final ForwardContext mContext;

    RequestResolver(ForwardContext context) {
        mContext = context;
    }

    Either<Refusal, ResolvedRequest> resolve(
            CallerRequest request, RequestMetadata metadata, RequestOrigin origin) {
        return mContext.catalog()
                .current()
                .<Either<Refusal, ResolvedRequest>>map(
                        catalog -> resolve(request, metadata, origin, catalog))
                .orElseGet(() -> notReady("no configuration was read yet"));
    }

    private Either<Refusal, ResolvedRequest> resolve(
            CallerRequest request,
            RequestMetadata metadata,
            RequestOrigin origin,
            Catalog catalog) {
        Optional<Route> route = catalog.route(metadata.host(), request.path());
        if (route.isEmpty()) {
            return unknown(RefusalCode.UNKNOWN_PATH, "no route serves " + metadata.host());
        }
        if (route.get().allowsAnonymous() || !catalog.requiresKeys()) {
            return accept(request, metadata, origin, catalog, route.get(), null);
        }
        if (!mContext.freshness().mayTrustKeys()) {
            return notReady("the configuration is not confirmed, so that no key can be trusted");
        }
        return metadata.key()
                .flatMap(catalog::account)
                .map(account -> accept(request, metadata, origin, catalog, route.get(), account))
                .orElseGet(() -> unknown(RefusalCode.UNAUTHENTICATED, "the key is not known"));
    }

    private Either<Refusal, ResolvedRequest> accept(
            CallerRequest request,
            RequestMetadata metadata,
            RequestOrigin origin,
            Catalog catalog,
            Route route,
            @Nullable KeyedAccount account) {
        String service = route.service(RendezvousHash.unitHash("split/" + metadata.attemptId()));
        return catalog.service(service)
                .<Either<Refusal, ResolvedRequest>>map(
                        profile ->
                                Either.right(
                                        new ResolvedRequest(
                                                request, metadata, route, profile, account,
                                                origin)))
                .orElseGet(() -> notReady("service " + service + " is not configured"));
    }

    /**
     * A newer catalogue may contain what an outdated one lacks, so that one refuses as not ready.
     */
    private Either<Refusal, ResolvedRequest> unknown(RefusalCode code, String detail) {
        return mContext.freshness().current()
                ? Either.left(Refusal.of(code, detail))
                : notReady(detail + " in the last configuration that was read");
    }

    private static Either<Refusal, ResolvedRequest> notReady(String detail) {
        return Either.left(new Refusal(RefusalCode.NOT_READY, detail, NOT_READY_RETRY_MILLIS));
    }
}
