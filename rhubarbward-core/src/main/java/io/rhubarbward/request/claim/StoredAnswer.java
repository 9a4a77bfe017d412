package io.rhubarbward.request.claim;

import io.rhubarbward.request.HeaderField;
import java.nio.ByteBuffer;
import java.util.Base64;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The answer that a claimed request got.
 *
 * @param status its status
 * @param headers its end-to-end header fields
 * @param body its body in Base64; null when it was too large to keep
 */
public record StoredAnswer(int status, List<HeaderField> headers, @Nullable String body) {
    /** The largest body that is kept, in bytes. */
    public static final int MAX_BODY_BYTES = 2048;

    public StoredAnswer {
        headers = List.copyOf(headers);
    }

    /** Returns the answer with its body, or without it when it is too large to keep. */
    public static StoredAnswer of(int status, List<HeaderField> headers, byte[] body) {
        return new StoredAnswer(
                status,
                headers,
                body.length > MAX_BODY_BYTES ? null : Base64.getEncoder().encodeToString(body));
    }

    /** Returns the body's bytes; empty when it was not kept. */
    public ByteBuffer bytes() {
        return ByteBuffer.wrap(Base64.getDecoder().decode(body == null ? "" : body));
    }
}
