package io.rhubarbward.request;

import io.rhubarbward.config.RequestSettings;
import io.rhubarbward.config.Sha256;
import io.rhubarbward.request.claim.ClaimKey;
import io.rhubarbward.request.claim.ClaimRequest;
import io.rhubarbward.request.claim.ClaimStore;
import io.rhubarbward.request.claim.ClaimTicket;
import io.rhubarbward.request.claim.ClaimVerdict;
import io.rhubarbward.request.claim.StoredAnswer;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.jspecify.annotations.Nullable;

/**
 * An exchange's claim on its idempotency key, and the answer that is kept under it.
 *
 * <p>An exchange without a key, or whose request may be repeated, needs none.
 */
final class ExchangeClaim {
    static final String KEY_HEADER = "idempotency-key";

    private final AcceptedRequest mRequest;
    private final ClaimStore mStore;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private boolean mWanted;
    private @Nullable ClaimTicket mTicket;
    private int mStatus;
    private List<HeaderField> mHeaders = List.of();

    ExchangeClaim(AcceptedRequest request, ClaimStore store) {
        mRequest = request;
        mStore = store;
        mWanted = request.retryPolicy() == RetryPolicy.ONLY_IF_NOT_RUN && key().isPresent();
    }

    /** Returns whether the key has to be claimed before anything is sent. */
    boolean wanted() {
        return mWanted;
    }

    /** Returns whether the key is this exchange's own. */
    boolean held() {
        return mTicket != null;
    }

    CompletionStage<ClaimVerdict> acquire() {
        RequestSettings limits = mRequest.settings().request();
        ClaimKey key =
                ClaimKey.of(mRequest.account().name(), mRequest.service().name(), key().orElse(""));
        ClaimRequest request =
                new ClaimRequest(
                        key,
                        digest(),
                        Duration.ofMillis(limits.deadlineMillis()),
                        Duration.ofSeconds(limits.claimRetentionSeconds()));
        return mStore.claim(request).thenApply(this::note);
    }

    private ClaimVerdict note(ClaimVerdict verdict) {
        if (verdict instanceof ClaimVerdict.Granted granted) {
            mTicket = granted.ticket();
            mWanted = false;
        }
        return verdict;
    }

    /** Goes on without a claim; only for a service that runs each key once by itself. */
    void waive() {
        mWanted = false;
    }

    void onHead(int status, HeaderFields headers) {
        mStatus = status;
        mHeaders = HopByHop.strip(headers).fields();
    }

    void onPart(ByteBuffer part) {
        if (held() && mBody.size() <= StoredAnswer.MAX_BODY_BYTES) {
            ByteBuffer copy = part.duplicate();
            byte[] bytes = new byte[Math.min(copy.remaining(), StoredAnswer.MAX_BODY_BYTES + 1)];
            copy.get(bytes);
            mBody.write(bytes, 0, bytes.length);
        }
    }

    /** Stores what became of the request; completes when that is stored or was given up. */
    CompletionStage<Boolean> settle(End end) {
        ClaimTicket ticket = mTicket;
        if (ticket == null) {
            return CompletableFuture.completedFuture(true);
        }
        mTicket = null;
        return switch (end) {
            case ANSWERED ->
                    mStore.done(ticket, StoredAnswer.of(mStatus, mHeaders, mBody.toByteArray()));
            case MAY_HAVE_RUN -> mStore.lost(ticket);
            case NOT_RUN -> mStore.release(ticket);
        };
    }

    private Optional<String> key() {
        return mRequest.caller().headers().first(KEY_HEADER);
    }

    private String digest() {
        ByteBuffer body = mRequest.caller().body();
        String line = mRequest.caller().method() + " " + mRequest.caller().target() + "\n";
        byte[] head = line.getBytes(StandardCharsets.UTF_8);
        byte[] all = new byte[head.length + body.remaining()];
        System.arraycopy(head, 0, all, 0, head.length);
        body.get(all, head.length, body.remaining());
        return Sha256.of(all).substring(0, ClaimKey.ID_DIGITS);
    }

    /** How an exchange that held a claim ended. */
    enum End {
        /** The whole answer came. */
        ANSWERED,
        /** It was sent and its answer did not come whole. */
        MAY_HAVE_RUN,
        /** No byte of it was sent. */
        NOT_RUN
    }
}
