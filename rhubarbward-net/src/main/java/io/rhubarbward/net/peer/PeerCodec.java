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
 * Converts one type of message to and from the bytes of a Thrift struct.
 *
 * @param kind the type's number on the wire, which must never change
 * @param type the class of the message
 * @param newStruct creates a struct whose fields are not set
 * @param toStruct converts a message to a struct
 * @param fromStruct converts a struct to a message
 */
public record PeerCodec<M extends PeerMessage, S extends TBase<S, ?>>(
        int kind,
        Class<M> type,
        Supplier<S> newStruct,
        Function<M, S> toStruct,
        Function<S, M> fromStruct) {
    byte[] encode(PeerMessage message) throws TException {
        return new TSerializer(new TCompactProtocol.Factory())
                .serialize(toStruct.apply(type.cast(message)));
    }

    Either<TException, M> decode(byte[] bytes) {
        try {
            S struct = newStruct.get();
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(struct, bytes);
            return Either.right(fromStruct.apply(struct));
        } catch (TException e) {
            return Either.left(e);
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            // A peer of a newer version may send values that this version does not know.
            return Either.left(new TException(e));
        }
    }
}
