package io.rhubarbward.net.peer;

import io.rhubarbward.membership.PeerMessage;
import io.vavr.control.Either;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/**
 * Turns one type of message into a Thrift struct and back.
 *
 * @param kind the number that stands for the type between routers; it never changes
 * @param type the type of message
 * @param empty makes an empty struct
 * @param toStruct fills a struct from a message
 * @param fromStruct reads a message from a struct
 */
public record PeerCodec<M extends PeerMessage, S extends TBase<S, ?>>(
        int kind,
        Class<M> type,
        Supplier<S> empty,
        Function<M, S> toStruct,
        Function<S, M> fromStruct) {
    byte[] encode(PeerMessage message) throws TException {
        return new TSerializer(new TCompactProtocol.Factory())
                .serialize(toStruct.apply(type.cast(message)));
    }

    Either<TException, M> decode(byte[] body) {
        try {
            S struct = empty.get();
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(struct, body);
            return Either.right(fromStruct.apply(struct));
        } catch (TException e) {
            return Either.left(e);
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            // A newer peer may say what this version has no word for.
            return Either.left(new TException(e));
        }
    }
}
