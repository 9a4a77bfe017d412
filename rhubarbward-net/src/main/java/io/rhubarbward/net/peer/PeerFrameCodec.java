package io.rhubarbward.net.peer;

import io.rhubarbward.gen.peer.Envelope;
import io.rhubarbward.membership.PeerMessage;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/**
 * Turns messages into frames and back: an envelope with the sender, the kind and the body.
 *
 * <p>The length that goes before each frame on the wire is not part of it.
 */
public final class PeerFrameCodec {
    /** Bytes of the length that goes before each frame. */
    public static final int LENGTH_BYTES = 4;

    private final Map<Class<?>, PeerCodec<?, ?>> mCodecsByType =
            PeerCodecs.all().stream()
                    .collect(Collectors.toMap(PeerCodec::type, Function.identity()));
    private final Map<Integer, PeerCodec<?, ?>> mCodecsByKind =
            PeerCodecs.all().stream()
                    .collect(Collectors.toMap(PeerCodec::kind, Function.identity()));

    /**
     * Returns the message's frame; throws if no codec knows its type.
     *
     * @param sender the name of the sender's VM, in the first frame of a connection
     */
    public byte[] encode(Optional<String> sender, PeerMessage message) {
        PeerCodec<?, ?> codec = mCodecsByType.get(message.getClass());
        if (codec == null) {
            throw new IllegalArgumentException(message.getClass() + ": expected one with a codec");
        }
        try {
            Envelope envelope = new Envelope(codec.kind(), ByteBuffer.wrap(codec.encode(message)));
            sender.ifPresent(envelope::setSender);
            return new TSerializer(new TCompactProtocol.Factory()).serialize(envelope);
        } catch (TException e) {
            throw new IllegalArgumentException(message + ": expected a serializable message", e);
        }
    }

    /** Returns the message in the frame; none if its kind is unknown here. */
    public Either<TException, Option<Received>> decode(byte[] frame) {
        Envelope envelope = new Envelope();
        try {
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(envelope, frame);
        } catch (TException e) {
            return Either.left(e);
        }
        PeerCodec<?, ?> codec = mCodecsByKind.get(envelope.getKind());
        if (codec == null) {
            return Either.right(Option.none());
        }
        return codec.decode(envelope.getBody())
                .map(message -> Option.of(new Received(sender(envelope), message)));
    }

    private static Optional<String> sender(Envelope envelope) {
        return Optional.ofNullable(envelope.getSender());
    }

    /**
     * A message that came in a frame.
     *
     * @param sender the name of the sender's VM; absent after the connection's first frame
     * @param message what it said
     */
    public record Received(Optional<String> sender, PeerMessage message) {}
}
