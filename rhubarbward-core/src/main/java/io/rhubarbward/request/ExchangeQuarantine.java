package io.rhubarbward.request;

import io.rhubarbward.config.Service;
import io.rhubarbward.config.Sha256;
import io.rhubarbward.request.quarantine.Crash;
import io.rhubarbward.request.quarantine.Quarantine;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Applies the crash quarantine to one exchange; only requests to engines are subject to it. */
final class ExchangeQuarantine {
    private static final long TRIAL_RETRY_AFTER_MILLIS = 2000;
    private static final int FINGERPRINT_DIGITS = 32;

    private final AcceptedRequest mRequest;
    private final Quarantine mQuarantine;
    private @Nullable String mFingerprint;
    private boolean mOnTrial;

    ExchangeQuarantine(AcceptedRequest request, Quarantine quarantine) {
        mRequest = request;
        mQuarantine = quarantine;
    }

    /**
     * Returns the refusal of a request that may not be sent, and empty otherwise. Begins the trial
     * of a suspect request that may be sent.
     */
    Optional<Refusal> refusal() {
        // Skips the digest of the body in the usual case that no request is suspect.
        if (!forEngine() || mQuarantine.empty()) {
            return Optional.empty();
        }
        Quarantine.Decision decision = mQuarantine.admit(fingerprint());
        mOnTrial = decision == Quarantine.Decision.TRIAL;
        return switch (decision) {
            case FREE, TRIAL -> Optional.empty();
            case ON_TRIAL ->
                    Optional.of(
                            new Refusal(
                                    RefusalCode.CRASH_SUSPECT,
                                    "an engine crashed under this request, which is running again",
                                    TRIAL_RETRY_AFTER_MILLIS));
            case QUARANTINED ->
                    Optional.of(
                            new Refusal(
                                    RefusalCode.QUARANTINED,
                                    "two engines crashed under this request",
                                    mQuarantine.remainingTime(fingerprint()).toMillis()));
        };
    }

    /**
     * Records a failed attempt and returns whether the request may be sent to another server.
     *
     * @param retryWanted whether the exchange would retry if the quarantine allows it
     */
    boolean recordFailure(BackendFailure failure, Crash crash, boolean retryWanted) {
        if (!forEngine() || failure != BackendFailure.CONNECTION_LOST) {
            return retryWanted;
        }
        mOnTrial = mQuarantine.recordCrash(fingerprint(), crash, retryWanted);
        return mOnTrial;
    }

    /** Ends the trial, if the request is on trial. */
    void end(boolean answered) {
        if (mOnTrial) {
            mOnTrial = false;
            mQuarantine.endTrial(fingerprint(), answered);
        }
    }

    private boolean forEngine() {
        return mRequest.service().kind() == Service.Kind.ENGINE;
    }

    private String fingerprint() {
        String fingerprint = mFingerprint;
        if (fingerprint == null) {
            fingerprint = digest();
            mFingerprint = fingerprint;
        }
        return fingerprint;
    }

    private String digest() {
        byte[] accountLine = (mRequest.account().name() + "\n").getBytes(StandardCharsets.UTF_8);
        ByteBuffer body = mRequest.caller().body();
        byte[] digested = new byte[accountLine.length + body.remaining()];
        System.arraycopy(accountLine, 0, digested, 0, accountLine.length);
        body.get(digested, accountLine.length, body.remaining());
        return Sha256.of(digested).substring(0, FINGERPRINT_DIGITS);
    }
}
