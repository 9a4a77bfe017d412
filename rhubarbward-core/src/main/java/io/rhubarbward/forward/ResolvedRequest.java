package io.rhubarbward.forward;

import io.rhubarbward.catalog.KeyedAccount;
import io.rhubarbward.catalog.Route;
import io.rhubarbward.catalog.ServiceProfile;
import io.rhubarbward.crash.RequestTraits;
import io.rhubarbward.hash.RendezvousHash;
import io.rhubarbward.placement.PlacementQuery;
import io.rhubarbward.request.CallerRequest;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request with its route, service and account from the catalogue.
 *
 * @param caller the request as the caller sent it
 * @param metadata its decoded header fields
 * @param route the route that matches it
 * @param service the service chosen from the route's targets
 * @param account the account that the caller's key belongs to; null where no key is needed
 * @param origin the router that forwarded the request; {@link RequestOrigin#CALLER} if none did
 */
record ResolvedRequest(
        CallerRequest caller,
        RequestMetadata metadata,
        Route route,
        ServiceProfile service,
        @Nullable KeyedAccount account,
        RequestOrigin origin) {
    /** Returns whether another router has forwarded the request to this one. */
    boolean forwarded() {
        return origin.forwarded();
    }

    /** Returns how long the request may take at most. */
    Duration timeout() {
        return metadata.callerTimeout()
                .filter(callerTimeout -> callerTimeout.compareTo(route.timeout()) < 0)
                .orElse(route.timeout());
    }

    Optional<String> accountName() {
        return Optional.ofNullable(account).map(KeyedAccount::name);
    }

    /** Returns the priority that the server is told; empty for services other than engines. */
    OptionalInt priority() {
        if (!service.engine()) {
            return OptionalInt.empty();
        }
        return account != null && account.priority().isPresent()
                ? account.priority()
                : OptionalInt.of(route.priority());
    }

    /** Returns the length of the prompt and the most tokens that may be generated. */
    long tokens() {
        return metadata.prompt()
                .map(prompt -> (long) prompt.promptTokens() + prompt.maxOutputTokens())
                .orElse(0L);
    }

    int sharedTokens() {
        return metadata.prompt().map(PromptMetadata::sharedTokens).orElse(0);
    }

    /** Returns the ids of the prompt parts that other requests share; empty without a prompt. */
    List<String> sharedPartIds() {
        return metadata.prompt().stream()
                .flatMap(prompt -> prompt.sharedParts().stream())
                .map(PromptMetadata.PromptPart::id)
                .toList();
    }

    /** Returns the traits by which requests that crash backend servers are recognised. */
    List<Long> traits() {
        return RequestTraits.of(
                sharedPartIds(), caller.target(), accountName().orElse(""), caller.body());
    }

    PlacementQuery placementQuery(Set<String> triedServers) {
        return new PlacementQuery(
                service.name(),
                affinityKey(),
                sharedTokens(),
                RendezvousHash.unitHash(metadata.attemptId()),
                triedServers);
    }

    Optional<String> affinityKey() {
        return metadata.prompt().flatMap(PromptMetadata::lastSharedPart);
    }
}
