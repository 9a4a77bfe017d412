package io.rhubarbward.forward;

import io.rhubarbward.catalog.KeyedAccount;
import io.rhubarbward.catalog.Route;
import io.rhubarbward.catalog.ServiceProfile;
import io.rhubarbward.hash.RendezvousHash;
import io.rhubarbward.request.CallerRequest;
import java.util.Optional;
import java.util.OptionalInt;
import org.jspecify.annotations.Nullable;

/**
 * A request that the catalogue allows.
 *
 * @param caller what the caller sent
 * @param facts what it says
 * @param route its route
 * @param service the service chosen for it
 * @param account the account of its key; null where the route needs none
 */
record ForwardRequest(
        CallerRequest caller,
        RequestMetadata facts,
        Route route,
        ServiceProfile service,
        @Nullable KeyedAccount account) {
    private static final double UNIT = 0x1.0p-53;
    private static final int UNUSED_BITS = 11;

    /** Returns where an id falls in the unit interval, the same at every router. */
    static double point(String id) {
        return (RendezvousHash.hash(id) >>> UNUSED_BITS) * UNIT;
    }

    Optional<String> accountName() {
        return Optional.ofNullable(account).map(KeyedAccount::name);
    }

    /** Returns the rank that the server is told; only engines rank their requests. */
    OptionalInt priority() {
        if (!service.engine()) {
            return OptionalInt.empty();
        }
        return account != null && account.priority().isPresent()
                ? account.priority()
                : OptionalInt.of(route.priority());
    }

    int sharedTokens() {
        return facts.prompt().map(PromptMetadata::sharedTokens).orElse(0);
    }

    Optional<String> affinity() {
        return facts.prompt().flatMap(PromptMetadata::lastSharedPart);
    }
}
