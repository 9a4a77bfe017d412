package io.rhubarbward.request;

import io.rhubarbward.config.Service;
import java.util.Set;

/** Which failed backend calls of a request may be made again at another backend server. */
public enum RetryPolicy {
    /** The request may run any number of times. */
    REPEATABLE {
        @Override
        public boolean mayRepeat(BackendFailure failure) {
            return true;
        }
    },
    /** The request may run once at most: repeated only when it certainly did not run. */
    ONLY_IF_NOT_RUN {
        @Override
        public boolean mayRepeat(BackendFailure failure) {
            return failure.provesNotRun();
        }
    };

    private static final Set<String> IDEMPOTENT_METHODS =
            Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE");

    /** Returns the policy for a method of a service. */
    public static RetryPolicy of(Service service, String method) {
        return service.repeatable() || IDEMPOTENT_METHODS.contains(method)
                ? REPEATABLE
                : ONLY_IF_NOT_RUN;
    }

    /** Returns whether a call that failed so, with nothing shown to the caller, may be repeated. */
    public abstract boolean mayRepeat(BackendFailure failure);
}
