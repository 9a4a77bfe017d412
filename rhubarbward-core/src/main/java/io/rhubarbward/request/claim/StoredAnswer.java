package io.rhubarbward.request.claim;

import io.rhubarbward.request.HeaderField;
import java.nio.ByteBuffer;
import java.util.Base64;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The answer to a claimed request, stored to answer later requests with the same idempotency key.
 *
 * @param status the HTTP status
 * @param headers the end-to-end header fields
 * @param body the body in Base64; null if it was too large to keep
 */
public record StoredAnswer(int status, List<HeaderField> headers, @Nullable String body) {
    /** The largest body that is kept, in bytes. */
    public static final int MAX_BODY_BYTES = 2048;

    public StoredAnswer {
        headers = List.copyOf(headers);
    }

    /** Returns the answer with its body, or without it if it is too large to keep. */
    public static StoredAnswer of(int status, List<HeaderField> headers, byte[] body) {
        return new StoredAnswer(
                status,
                headers,
                body.length > MAX_BODY_BYTES ? null : Base64.getEncoder().encodeToString(body));
    }

    /** Returns the body's bytes; empty if it was not kept. */
    public ByteBuffer bodyBytes() {
        return ByteBuffer.wrap(Base64.getDecoder().decode(body == null ? "" : body));
    }
}
