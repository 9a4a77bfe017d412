package io.rhubarbward.config;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * A router's copy of the accepted configuration: the head in force, its chunks, and chunks that
 * have arrived for a newer one.
 *
 * <p>A chunk is known by its content, so that it does not matter who sent it. A head is taken only
 * when all its chunks are here and the settings are well as a whole.
 */
final class ConfigReplica {
    private final CurrentConfiguration mInForce;
    private final EventLog mEvents;
    private final Map<String, String> mTexts = new HashMap<>();
    private @Nullable SiteHead mHead;
    private @Nullable SiteHead mRefused;

    ConfigReplica(CurrentConfiguration inForce, EventLog events) {
        mInForce = inForce;
        mEvents = events;
    }

    /** Returns the head in force; empty before the first. */
    Optional<SiteHead> head() {
        return Optional.ofNullable(mHead);
    }

    /** Returns the generation in force; 0 before the first. */
    long generation() {
        return mInForce.generation();
    }

    /** Returns whether the head is newer than the one in force and has not been refused. */
    boolean wants(SiteHead head) {
        return head.generation() > generation() && !head.equals(mRefused);
    }

    Optional<String> text(String name) {
        return Optional.ofNullable(mTexts.get(name));
    }

    /** Keeps a chunk that a newer head needs. */
    void add(String text) {
        mTexts.put(Sha256.of(text), text);
    }

    /** Returns the names of the head's chunks that are not here. */
    List<String> missing(SiteHead head) {
        return head.chunks().stream().filter(name -> !mTexts.containsKey(name)).toList();
    }

    /** Puts the head in force if it is newer and well; returns whether it did. */
    boolean take(SiteHead head) {
        if (!wants(head)) {
            return false;
        }
        Either<ConfigFailure, Configuration> assembled = head.assemble(mTexts);
        if (assembled.isLeft()) {
            refuse(head, assembled.getLeft());
            return false;
        }
        mHead = head;
        mTexts.keySet().retainAll(head.chunks());
        return mInForce.offer(assembled.get());
    }

    private void refuse(SiteHead head, ConfigFailure failure) {
        mRefused = head;
        mEvents.log(
                LogEvent.CONFIG_REFUSED,
                EventField.of("generation", head.generation()),
                EventField.of("reason", failure.message()));
    }
}
