package io.rhubarbward.net.peer;

import io.rhubarbward.config.ConfigMessage.ChunkAnswer;
import io.rhubarbward.config.ConfigMessage.ChunkRequest;
import io.rhubarbward.config.ConfigMessage.HeadAnswer;
import io.rhubarbward.config.ConfigMessage.HeadRequest;
import io.rhubarbward.config.ConfigMessage.Offer;
import io.rhubarbward.config.SiteHead;
import io.rhubarbward.gen.config.ConfigChunkAnswerStruct;
import io.rhubarbward.gen.config.ConfigChunkRequestStruct;
import io.rhubarbward.gen.config.ConfigHeadAnswerStruct;
import io.rhubarbward.gen.config.ConfigHeadRequestStruct;
import io.rhubarbward.gen.config.ConfigOfferStruct;
import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.List;

/**
 * The codecs of the messages that distribute configuration: kinds 40 to 49.
 *
 * <p>The names of chunks are SHA-256 hashes, hexadecimal in messages and binary in structs.
 */
final class ConfigCodecs {
    private static final PeerCodec<Offer, ConfigOfferStruct> OFFER =
            new PeerCodec<>(
                    40,
                    Offer.class,
                    ConfigOfferStruct::new,
                    message -> new ConfigOfferStruct(message.generation()),
                    struct -> new Offer(struct.getGeneration()));

    private static final PeerCodec<HeadRequest, ConfigHeadRequestStruct> HEAD_REQUEST =
            new PeerCodec<>(
                    41,
                    HeadRequest.class,
                    ConfigHeadRequestStruct::new,
                    message ->
                            new ConfigHeadRequestStruct(
                                    message.site(), message.generation(), message.replyTo()),
                    struct ->
                            new HeadRequest(
                                    struct.getSite(), struct.getGeneration(), struct.getReplyTo()));

    private static final PeerCodec<HeadAnswer, ConfigHeadAnswerStruct> HEAD_ANSWER =
            new PeerCodec<>(
                    42,
                    HeadAnswer.class,
                    ConfigHeadAnswerStruct::new,
                    message ->
                            new ConfigHeadAnswerStruct(
                                    message.head().generation(),
                                    message.head().layers().stream()
                                            .map(ConfigCodecs::toBinary)
                                            .toList()),
                    struct ->
                            new HeadAnswer(
                                    new SiteHead(
                                            struct.getGeneration(),
                                            struct.getLayers().stream()
                                                    .map(ConfigCodecs::toHex)
                                                    .toList())));

    private static final PeerCodec<ChunkRequest, ConfigChunkRequestStruct> CHUNK_REQUEST =
            new PeerCodec<>(
                    43,
                    ChunkRequest.class,
                    ConfigChunkRequestStruct::new,
                    message ->
                            new ConfigChunkRequestStruct(
                                    toBinary(message.names()), message.replyTo()),
                    struct -> new ChunkRequest(toHex(struct.getNames()), struct.getReplyTo()));

    private static final PeerCodec<ChunkAnswer, ConfigChunkAnswerStruct> CHUNK_ANSWER =
            new PeerCodec<>(
                    44,
                    ChunkAnswer.class,
                    ConfigChunkAnswerStruct::new,
                    message -> new ConfigChunkAnswerStruct(message.texts()),
                    struct -> new ChunkAnswer(struct.getTexts()));

    private ConfigCodecs() {}

    static List<PeerCodec<?, ?>> all() {
        return List.of(OFFER, HEAD_REQUEST, HEAD_ANSWER, CHUNK_REQUEST, CHUNK_ANSWER);
    }

    private static List<ByteBuffer> toBinary(List<String> names) {
        return names.stream().map(name -> ByteBuffer.wrap(HexFormat.of().parseHex(name))).toList();
    }

    private static List<String> toHex(List<ByteBuffer> names) {
        return names.stream().map(ConfigCodecs::toHexName).toList();
    }

    private static String toHexName(ByteBuffer name) {
        byte[] bytes = new byte[name.remaining()];
        name.duplicate().get(bytes);
        return HexFormat.of().formatHex(bytes);
    }
}
