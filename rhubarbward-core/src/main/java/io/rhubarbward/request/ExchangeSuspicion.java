package io.rhubarbward.request;

import io.rhubarbward.config.Service;
import io.rhubarbward.config.Sha256;
import io.rhubarbward.request.quarantine.Crash;
import io.rhubarbward.request.quarantine.Quarantine;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** An exchange's part in crash quarantine; only requests to engines have one. */
final class ExchangeSuspicion {
    private static final long TRIAL_RETRY_MILLIS = 2000;
    private static final int FINGERPRINT_DIGITS = 32;

    private final AcceptedRequest mRequest;
    private final Quarantine mQuarantine;
    private @Nullable String mFingerprint;
    private boolean mTrial;

    ExchangeSuspicion(AcceptedRequest request, Quarantine quarantine) {
        mRequest = request;
        mQuarantine = quarantine;
    }

    /** Returns why the request may not be sent; empty when it may. */
    Optional<Refusal> refusal() {
        // Nearly always nobody is suspect, and no body needs a digest.
        if (!toEngine() || mQuarantine.empty()) {
            return Optional.empty();
        }
        Quarantine.Admittance admittance = mQuarantine.admit(fingerprint());
        mTrial = admittance == Quarantine.Admittance.TRIAL;
        return switch (admittance) {
            case FREE, TRIAL -> Optional.empty();
            case ON_TRIAL ->
                    Optional.of(
                            new Refusal(
                                    RefusalCode.CRASH_SUSPECT,
                                    "an engine crashed under this request, which is running again",
                                    TRIAL_RETRY_MILLIS));
            case QUARANTINED ->
                    Optional.of(
                            new Refusal(
                                    RefusalCode.QUARANTINED,
                                    "two engines crashed under this request",
                                    mQuarantine.remaining(fingerprint()).toMillis()));
        };
    }

    /** Notes a failed attempt and returns whether the request may be sent to another server. */
    boolean mayRetry(BackendFailure failure, Crash crash, boolean wanted) {
        if (!toEngine() || failure != BackendFailure.CONNECTION_LOST) {
            return wanted;
        }
        mTrial = mQuarantine.crashed(fingerprint(), crash, wanted);
        return mTrial;
    }

    void end(boolean answered) {
        if (mTrial) {
            mTrial = false;
            mQuarantine.trialEnded(fingerprint(), answered);
        }
    }

    private boolean toEngine() {
        return mRequest.service().kind() == Service.Kind.ENGINE;
    }

    private String fingerprint() {
        String known = mFingerprint;
        if (known == null) {
            known = digest();
            mFingerprint = known;
        }
        return known;
    }

    private String digest() {
        byte[] account = (mRequest.account().name() + "\n").getBytes(StandardCharsets.UTF_8);
        ByteBuffer body = mRequest.caller().body();
        byte[] all = new byte[account.length + body.remaining()];
        System.arraycopy(account, 0, all, 0, account.length);
        body.get(all, account.length, body.remaining());
        return Sha256.of(all).substring(0, FINGERPRINT_DIGITS);
    }
}
