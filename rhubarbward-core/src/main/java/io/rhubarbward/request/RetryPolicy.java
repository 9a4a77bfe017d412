package io.rhubarbward.request;

import io.rhubarbward.config.Service;
import java.util.Set;

/** Decides after a failed backend call whether the request may be sent to another server. */
public enum RetryPolicy {
    /** The request may run more than once, so it may be retried after any failure. */
    REPEATABLE {
        @Override
        public boolean mayRetry(BackendFailure failure) {
            return true;
        }
    },
    /** The request may run at most once, so it is retried only if it certainly did not run. */
    ONLY_IF_NOT_RUN {
        @Override
        public boolean mayRetry(BackendFailure failure) {
            return failure.provesNotRun();
        }
    };

    private static final Set<String> IDEMPOTENT_METHODS =
            Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE");

    /** Returns the policy for requests with the method to the service. */
    public static RetryPolicy of(Service service, String method) {
        return service.repeatable() || IDEMPOTENT_METHODS.contains(method)
                ? REPEATABLE
                : ONLY_IF_NOT_RUN;
    }

    /** Returns whether a retry is allowed, provided that the caller got no part of an answer. */
    public abstract boolean mayRetry(BackendFailure failure);
}
