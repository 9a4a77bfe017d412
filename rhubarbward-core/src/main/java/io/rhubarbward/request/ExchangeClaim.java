package io.rhubarbward.request;

import io.rhubarbward.config.RequestSettings;
import io.rhubarbward.config.Sha256;
import io.rhubarbward.request.claim.ClaimKey;
import io.rhubarbward.request.claim.ClaimRequest;
import io.rhubarbward.request.claim.ClaimResult;
import io.rhubarbward.request.claim.ClaimStore;
import io.rhubarbward.request.claim.ClaimTicket;
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
 * An exchange's claim on its idempotency key, and a copy of the answer to store with it.
 *
 * <p>An exchange without a key, or whose request may run more than once, needs no claim.
 */
final class ExchangeClaim {
    static final String IDEMPOTENCY_KEY_HEADER = "idempotency-key";

    private final AcceptedRequest mRequest;
    private final ClaimStore mStore;
    private final ByteArrayOutputStream mAnswerBody = new ByteArrayOutputStream();
    private boolean mNeeded;
    private @Nullable ClaimTicket mTicket;
    private int mAnswerStatus;
    private List<HeaderField> mAnswerHeaders = List.of();

    ExchangeClaim(AcceptedRequest request, ClaimStore store) {
        mRequest = request;
        mStore = store;
        mNeeded =
                request.retryPolicy() == RetryPolicy.ONLY_IF_NOT_RUN
                        && idempotencyKey().isPresent();
    }

    /** Returns whether the key must be claimed before the request is sent. */
    boolean needed() {
        return mNeeded;
    }

    /** Returns whether this exchange holds the claim. */
    boolean held() {
        return mTicket != null;
    }

    CompletionStage<ClaimResult> acquire() {
        RequestSettings limits = mRequest.settings().request();
        ClaimKey key =
                ClaimKey.of(
                        mRequest.account().name(),
                        mRequest.service().name(),
                        idempotencyKey().orElse(""));
        ClaimRequest request =
                new ClaimRequest(
                        key,
                        requestDigest(),
                        Duration.ofMillis(limits.deadlineMillis()),
                        Duration.ofSeconds(limits.claimRetentionSeconds()));
        return mStore.claim(request).thenApply(this::keepTicket);
    }

    private ClaimResult keepTicket(ClaimResult result) {
        if (result instanceof ClaimResult.Granted granted) {
            mTicket = granted.ticket();
            mNeeded = false;
        }
        return result;
    }

    /**
     * Lets the request be sent: the claim is held, or the service itself runs each key only once.
     */
    void waive() {
        mNeeded = false;
    }

    void onHead(int status, HeaderFields headers) {
        mAnswerStatus = status;
        mAnswerHeaders = HopByHopHeaders.strip(headers).fields();
    }

    void onPart(ByteBuffer part) {
        if (held() && mAnswerBody.size() <= StoredAnswer.MAX_BODY_BYTES) {
            ByteBuffer copy = part.duplicate();
            byte[] bytes = new byte[Math.min(copy.remaining(), StoredAnswer.MAX_BODY_BYTES + 1)];
            copy.get(bytes);
            mAnswerBody.write(bytes, 0, bytes.length);
        }
    }

    /**
     * Ends the claim, if one is held, with the outcome of the exchange.
     *
     * @return completes with whether the store could be updated
     */
    CompletionStage<Boolean> settle(Outcome outcome) {
        ClaimTicket ticket = mTicket;
        if (ticket == null) {
            return CompletableFuture.completedFuture(true);
        }
        mTicket = null;
        return switch (outcome) {
            case ANSWERED ->
                    mStore.recordAnswer(
                            ticket,
                            StoredAnswer.of(
                                    mAnswerStatus, mAnswerHeaders, mAnswerBody.toByteArray()));
            case MAY_HAVE_RUN -> mStore.recordUnknownOutcome(ticket);
            case NOT_RUN -> mStore.release(ticket);
        };
    }

    private Optional<String> idempotencyKey() {
        return mRequest.caller().headers().first(IDEMPOTENCY_KEY_HEADER);
    }

    private String requestDigest() {
        ByteBuffer body = mRequest.caller().body();
        String requestLine = mRequest.caller().method() + " " + mRequest.caller().target() + "\n";
        byte[] lineBytes = requestLine.getBytes(StandardCharsets.UTF_8);
        byte[] digested = new byte[lineBytes.length + body.remaining()];
        System.arraycopy(lineBytes, 0, digested, 0, lineBytes.length);
        body.get(digested, lineBytes.length, body.remaining());
        return Sha256.of(digested).substring(0, ClaimKey.ID_DIGITS);
    }

    /** The outcome of an exchange that held a claim. */
    enum Outcome {
        /** The answer arrived completely. */
        ANSWERED,
        /** The request was sent, and its answer did not arrive completely. */
        MAY_HAVE_RUN,
        /** The request certainly did not run. */
        NOT_RUN
    }
}
