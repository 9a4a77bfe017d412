package io.rhubarbward.forward;

import io.rhubarbward.admission.AdmissionDecision;
import io.rhubarbward.admission.AdmissionRequest;
import io.rhubarbward.admission.AdmissionTicket;
import io.rhubarbward.admission.FleetAdmission;
import io.rhubarbward.admission.RequestCost;
import io.rhubarbward.catalog.Catalog;
import io.rhubarbward.catalog.KeyedAccount;
import io.rhubarbward.request.Refusal;
import io.rhubarbward.request.RefusalCode;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * One forwarded request's way through admission control. Requests to services that it does not
 * cover pass at once. A request that waits has been sent nowhere.
 */
final class ExchangeAdmission implements AdmissionTicket.Listener {
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final ResolvedRequest mRequest;
    private final ForwardContext mContext;
    private final Listener mListener;
    private final long mArrivedMillis;
    private final long mDeadlineMillis;

    /** Null for services that are not covered, and while another router serves the request. */
    private @Nullable AdmissionTicket mTicket;

    ExchangeAdmission(
            ResolvedRequest request,
            ForwardContext context,
            Listener listener,
            long arrivedMillis,
            long deadlineMillis) {
        mRequest = request;
        mContext = context;
        mListener = listener;
        mArrivedMillis = arrivedMillis;
        mDeadlineMillis = deadlineMillis;
    }

    /** Continues a request that waited, or ends it. */
    interface Listener {
        /** The request may be placed now. */
        void onAdmitted();

        /** The request is refused, and was sent nowhere. */
        void onPutOff(Refusal refusal);
    }

    private boolean covered() {
        return FleetAdmission.covers(mRequest.service());
    }

    /** Returns whether the request may be placed now; otherwise it waits or has been refused. */
    boolean admit() {
        if (!covered() || mTicket != null) {
            return true;
        }
        AdmissionDecision decision = ticket().decide();
        refuseIfDecided(decision);
        return decision instanceof AdmissionDecision.Admitted;
    }

    /** Lets the request wait, or refuses it, since no server has room; returns whether it did. */
    boolean putOff() {
        if (!covered()) {
            return false;
        }
        refuseIfDecided(ticket().onServersFull());
        return true;
    }

    private void refuseIfDecided(AdmissionDecision decision) {
        if (decision instanceof AdmissionDecision.Refused refused) {
            onRefused(refused);
        }
    }

    private AdmissionTicket ticket() {
        AdmissionTicket ticket = mTicket;
        if (ticket == null) {
            ticket = mContext.admission().ticket(admissionRequest(), this);
            mTicket = ticket;
        }
        return ticket;
    }

    private AdmissionRequest admissionRequest() {
        String service = mRequest.service().name();
        int priority = mRequest.priority().orElse(mRequest.route().priority());
        return new AdmissionRequest(
                mRequest.metadata().attemptId(),
                mRequest.route().name(),
                mRequest.service(),
                mRequest.accountName().orElse(""),
                mContext.catalog()
                        .current()
                        .map(catalog -> catalog.rank(service, priority))
                        .orElse(0),
                RequestCost.places(mRequest.service(), mRequest.tokens()),
                mArrivedMillis,
                mDeadlineMillis,
                mRequest.route().timeout().toMillis(),
                mRequest.route().targetLatency().toMillis());
    }

    @Override
    public void onAdmitted() {
        if (keyRevoked()) {
            mListener.onPutOff(
                    Refusal.of(
                            RefusalCode.UNAUTHENTICATED,
                            "the key was revoked while the request waited"));
        } else {
            mListener.onAdmitted();
        }
    }

    /** Returns whether the key that was valid at the arrival is no longer its account's. */
    private boolean keyRevoked() {
        KeyedAccount account = mRequest.account();
        if (account == null) {
            return false;
        }
        Optional<Catalog> catalog = mContext.catalog().current();
        return mRequest.metadata()
                .key()
                .flatMap(key -> catalog.flatMap(current -> current.account(key)))
                .filter(current -> current.name().equals(account.name()))
                .isEmpty();
    }

    @Override
    public void onRefused(AdmissionDecision.Refused refused) {
        mListener.onPutOff(
                new Refusal(
                        RefusalCode.OVERLOADED,
                        refused.cause().label() + " at " + mRequest.service().name(),
                        refused.retryAfterMillis()));
    }

    boolean waiting() {
        return mTicket != null && mTicket.waiting();
    }

    /** Counts the request, which is sent to a server for the first time or again. */
    void onSent() {
        if (covered()) {
            ticket().onSent();
        }
    }

    /** Learns the usual time until a response begins; errors come sooner and do not count. */
    void onResponseBegun(int status) {
        if (mTicket != null && status < MIN_SERVER_ERROR_STATUS) {
            mTicket.onResponseBegun();
        }
    }

    /** Learns the usual time of a whole response. */
    void onResponseWhole(int status) {
        if (mTicket != null && status < MIN_SERVER_ERROR_STATUS) {
            mTicket.onResponseWhole();
        }
    }

    /** Leaves the queue and frees the places: the other router admits the request by itself. */
    void moveToOtherRouter() {
        if (mTicket != null) {
            mTicket.moveToOtherRouter();
            mTicket = null;
        }
    }

    void end() {
        if (mTicket != null) {
            mTicket.end();
        }
    }
}
