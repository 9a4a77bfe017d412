package io.rhubarbward.config;

import io.rhubarbward.membership.PeerMessage;
import java.util.List;

/** What routers tell each other about configuration. */
public sealed interface ConfigMessage extends PeerMessage {
    /**
     * Tells that the sender has a generation in force.
     *
     * @param generation the generation
     */
    record Offer(long generation) implements ConfigMessage {}

    /**
     * Asks for the head in force at the receiver, if it is newer.
     *
     * @param site the site whose settings the sender follows
     * @param generation what the sender has in force; 0 before the first
     * @param replyTo the sender's address, for a receiver that does not know the sender
     */
    record HeadRequest(String site, long generation, String replyTo) implements ConfigMessage {}

    /**
     * Answers with a head.
     *
     * @param head the head in force at the sender
     */
    record HeadAnswer(SiteHead head) implements ConfigMessage {}

    /**
     * Asks for chunks.
     *
     * @param names their SHA-256 names
     * @param replyTo the sender's address, for a receiver that does not know the sender
     */
    record ChunkRequest(List<String> names, String replyTo) implements ConfigMessage {
        public ChunkRequest {
            names = List.copyOf(names);
        }
    }

    /**
     * Answers with some of the chunks; the receiver asks again for the others.
     *
     * @param texts the chunks' texts
     */
    record ChunkAnswer(List<String> texts) implements ConfigMessage {
        public ChunkAnswer {
            texts = List.copyOf(texts);
        }
    }
}
