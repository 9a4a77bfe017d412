package io.rhubarbward.config;

import io.rhubarbward.membership.PeerMessage;
import java.util.List;

/** A message by which routers distribute the configuration among each other. */
public sealed interface ConfigMessage extends PeerMessage {
    /**
     * Tells which generation the sender has in force.
     *
     * @param generation the generation in force at the sender; 0 before the first
     */
    record Offer(long generation) implements ConfigMessage {}

    /**
     * Asks for the head in force at the receiver, if its generation is higher.
     *
     * @param site the site whose settings the sender uses
     * @param generation the generation that the head must exceed; 0 before the first
     * @param replyTo the sender's address, for a receiver that does not know the sender
     */
    record HeadRequest(String site, long generation, String replyTo) implements ConfigMessage {}

    /**
     * Answers a {@link HeadRequest}.
     *
     * @param head the head in force at the sender
     */
    record HeadAnswer(SiteHead head) implements ConfigMessage {}

    /**
     * Asks for chunks.
     *
     * @param names the chunks' SHA-256 names
     * @param replyTo the sender's address, for a receiver that does not know the sender
     */
    record ChunkRequest(List<String> names, String replyTo) implements ConfigMessage {
        public ChunkRequest {
            names = List.copyOf(names);
        }
    }

    /**
     * Answers a {@link ChunkRequest} with some of the chunks; the receiver asks again for the
     * others.
     *
     * @param texts the chunks' texts
     */
    record ChunkAnswer(List<String> texts) implements ConfigMessage {
        public ChunkAnswer {
            texts = List.copyOf(texts);
        }
    }
}
