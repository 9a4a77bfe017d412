package io.rhubarbward.config;

import io.rhubarbward.config.ConfigMessage.ChunkAnswer;
import io.rhubarbward.config.ConfigMessage.ChunkRequest;
import io.rhubarbward.config.ConfigMessage.HeadAnswer;
import io.rhubarbward.config.ConfigMessage.HeadRequest;
import io.rhubarbward.config.ConfigMessage.Offer;
import io.rhubarbward.membership.PeerTransport;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Answers the requests of peers for the head and the chunks in force at this router. */
final class PeerRequestHandler {
    /** Keeps an answer within the buffer of a connection, unless a single chunk is larger. */
    private static final int MAX_ANSWER_BYTES = 48 * 1024;

    private final ConfigIdentity mIdentity;
    private final ConfigReplica mReplica;
    private final PeerGenerationTracker mPeerGenerations;
    private final PeerTransport mTransport;

    PeerRequestHandler(
            ConfigIdentity identity,
            ConfigReplica replica,
            PeerGenerationTracker peerGenerations,
            PeerTransport transport) {
        mIdentity = identity;
        mReplica = replica;
        mPeerGenerations = peerGenerations;
        mTransport = transport;
    }

    void start() {
        mTransport.subscribe(HeadRequest.class, this::onHeadRequest);
        mTransport.subscribe(ChunkRequest.class, this::onChunkRequest);
    }

    private void onHeadRequest(String vm, HeadRequest request) {
        if (!request.site().equals(mIdentity.site())) {
            return;
        }
        Optional<SiteHead> newer =
                mReplica.head().filter(head -> head.generation() > request.generation());
        ConfigMessage answer =
                newer.<ConfigMessage>map(HeadAnswer::new)
                        .orElseGet(() -> new Offer(mReplica.generation()));
        mTransport.send(mPeerGenerations.peer(vm, request.replyTo()), answer);
    }

    private void onChunkRequest(String vm, ChunkRequest request) {
        List<String> texts = new ArrayList<>();
        int bytes = 0;
        for (String name : request.names()) {
            Optional<String> text = mReplica.chunkText(name);
            if (text.isPresent()) {
                bytes += text.get().getBytes(StandardCharsets.UTF_8).length;
                if (!texts.isEmpty() && bytes > MAX_ANSWER_BYTES) {
                    break;
                }
                texts.add(text.get());
            }
        }
        mTransport.send(mPeerGenerations.peer(vm, request.replyTo()), new ChunkAnswer(texts));
    }
}
