package io.rhubarbward.net.peer;

import io.rhubarbward.gen.peer.Envelope;
import io.rhubarbward.membership.PeerMessage;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/**
 * Encodes messages as frames and decodes them. A frame is a Thrift envelope with the sender, the
 * message's kind and its body.
 *
 * <p>The length prefix of a frame on the wire is not part of the frame.
 */
public final class PeerFrameCodec {
    /** Size of the length prefix of each frame, in bytes. */
    public static final int LENGTH_BYTES = 4;

    /** Size from which a body is compressed: smaller ones fit into a packet or two. */
    private static final int MIN_DEFLATED_BYTES = 4096;

    /** Limit that a few of the store's largest objects fit into. */
    private static final int MAX_INFLATED_BYTES = 8_000_000;

    private static final int BUFFER_BYTES = 8192;

    private final Map<Class<?>, PeerCodec<?, ?>> mCodecsByType =
            PeerCodecs.all().stream()
                    .collect(Collectors.toMap(PeerCodec::type, Function.identity()));
    private final Map<Integer, PeerCodec<?, ?>> mCodecsByKind =
            PeerCodecs.all().stream()
                    .collect(Collectors.toMap(PeerCodec::kind, Function.identity()));

    /**
     * Returns the frame of a message.
     *
     * @param sender the name of the sender's VM, in the first frame of a connection
     * @throws IllegalArgumentException if the message's type has no codec
     */
    public byte[] encode(Optional<String> sender, PeerMessage message) {
        PeerCodec<?, ?> codec = mCodecsByType.get(message.getClass());
        if (codec == null) {
            throw new IllegalArgumentException(
                    message.getClass() + ": expected a message type that has a codec");
        }
        try {
            Envelope envelope = envelope(codec.kind(), codec.encode(message));
            sender.ifPresent(envelope::setSender);
            return new TSerializer(new TCompactProtocol.Factory()).serialize(envelope);
        } catch (TException e) {
            throw new IllegalArgumentException(
                    message + ": expected a message that Thrift can serialize", e);
        }
    }

    private static Envelope envelope(int kind, byte[] body) {
        if (body.length < MIN_DEFLATED_BYTES) {
            return new Envelope(kind, ByteBuffer.wrap(body));
        }
        return new Envelope(kind, ByteBuffer.wrap(deflate(body))).setDeflated(true);
    }

    private static byte[] deflate(byte[] body) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        deflater.setInput(body);
        deflater.finish();
        ByteArrayOutputStream deflated = new ByteArrayOutputStream(body.length / 4);
        byte[] buffer = new byte[BUFFER_BYTES];
        while (!deflater.finished()) {
            deflated.write(buffer, 0, deflater.deflate(buffer));
        }
        deflater.end();
        return deflated.toByteArray();
    }

    private static Either<TException, byte[]> inflate(byte[] body) {
        Inflater inflater = new Inflater();
        inflater.setInput(body);
        ByteArrayOutputStream inflated = new ByteArrayOutputStream(body.length * 4);
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            while (!inflater.finished()) {
                int length = inflater.inflate(buffer);
                inflated.write(buffer, 0, length);
                if (inflated.size() > MAX_INFLATED_BYTES || (length == 0 && !inflater.finished())) {
                    return Either.left(
                            new TException(
                                    inflated.size()
                                            + " bytes inflated of "
                                            + body.length
                                            + ": expected a complete body of at most "
                                            + MAX_INFLATED_BYTES));
                }
            }
            return Either.right(inflated.toByteArray());
        } catch (DataFormatException e) {
            return Either.left(new TException(e));
        } finally {
            inflater.end();
        }
    }

    /** Returns the message in a frame, or none if this version does not know its kind. */
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
        Either<TException, byte[]> body =
                envelope.isDeflated()
                        ? inflate(envelope.getBody())
                        : Either.right(envelope.getBody());
        return body.flatMap(codec::decode)
                .map(message -> Option.of(new Received(sender(envelope), message)));
    }

    private static Optional<String> sender(Envelope envelope) {
        return Optional.ofNullable(envelope.getSender());
    }

    /**
     * A decoded message.
     *
     * @param sender the name of the sender's VM; absent after the connection's first frame
     * @param message the message
     */
    public record Received(Optional<String> sender, PeerMessage message) {}
}
