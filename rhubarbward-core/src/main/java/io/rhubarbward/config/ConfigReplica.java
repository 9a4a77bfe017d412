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
 * A router's replica of the accepted configuration: the head in force, its chunks, and the chunks
 * that have arrived for a newer head.
 *
 * <p>Chunks are named by the hash of their content, so that they can be fetched from any router. A
 * head is put into force only if all its chunks are present and its settings are valid as a whole.
 */
final class ConfigReplica {
    private final CurrentConfiguration mCurrentConfiguration;
    private final EventLog mEvents;
    private final Map<String, String> mChunkTexts = new HashMap<>();
    private @Nullable SiteHead mHead;
    private @Nullable SiteHead mRefusedHead;

    ConfigReplica(CurrentConfiguration currentConfiguration, EventLog events) {
        mCurrentConfiguration = currentConfiguration;
        mEvents = events;
    }

    /** Returns the head in force; empty if there is none yet. */
    Optional<SiteHead> head() {
        return Optional.ofNullable(mHead);
    }

    /** Returns the generation in force; 0 if there is none yet. */
    long generation() {
        return mCurrentConfiguration.generation();
    }

    /**
     * Returns whether the head is newer than the one in force and is not the last one that was
     * refused.
     */
    boolean isCandidate(SiteHead head) {
        return head.generation() > generation() && !head.equals(mRefusedHead);
    }

    /** Returns the text of the chunk with the SHA-256 name, if it is present. */
    Optional<String> chunkText(String name) {
        return Optional.ofNullable(mChunkTexts.get(name));
    }

    /** Adds the text of a chunk of a newer head. */
    void addChunk(String text) {
        mChunkTexts.put(Sha256.of(text), text);
    }

    /** Returns the names of the head's chunks that are not present. */
    List<String> missingChunks(SiteHead head) {
        return head.chunks().stream().filter(name -> !mChunkTexts.containsKey(name)).toList();
    }

    /**
     * Puts the head into force if it is newer and its settings are valid; returns whether it did.
     */
    boolean activate(SiteHead head) {
        if (!isCandidate(head)) {
            return false;
        }
        Either<ConfigFailure, Configuration> assembled = head.assemble(mChunkTexts);
        if (assembled.isLeft()) {
            refuse(head, assembled.getLeft());
            return false;
        }
        mHead = head;
        mChunkTexts.keySet().retainAll(head.chunks());
        return mCurrentConfiguration.replaceIfNewer(assembled.get());
    }

    private void refuse(SiteHead head, ConfigFailure failure) {
        mRefusedHead = head;
        mEvents.log(
                LogEvent.CONFIG_REFUSED,
                EventField.of("generation", head.generation()),
                EventField.of("reason", failure.message()));
    }
}
