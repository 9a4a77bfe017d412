package io.rhubarbward.reach;

import io.rhubarbward.request.RefusalCode;
import io.rhubarbward.request.RunState;
import io.vavr.control.Try;
import java.util.Arrays;
import java.util.Optional;

/**
 * A router's own refusal of a request that another router forwarded to it.
 *
 * @param code the reason
 * @param retryAfterMillis the time after which a retry may succeed; 0 if a retry does not help
 * @param mayHaveRun whether a server may have run the request
 */
public record PeerRefusal(RefusalCode code, long retryAfterMillis, boolean mayHaveRun) {
    /** Returns the value of the header field. */
    public String encode() {
        return code.label()
                + ' '
                + retryAfterMillis
                + ' '
                + (mayHaveRun ? RunState.UNKNOWN : RunState.NOT_RUN).label();
    }

    /** Decodes a value; one that cannot be read stands for a request that may have run. */
    public static PeerRefusal decode(String text) {
        String[] fields = text.split(" ");
        Optional<RefusalCode> code =
                Arrays.stream(RefusalCode.values())
                        .filter(known -> known.label().equals(fields[0]))
                        .findFirst();
        return Try.of(
                        () ->
                                new PeerRefusal(
                                        code.orElseThrow(),
                                        Long.parseLong(fields[1]),
                                        !fields[2].equals(RunState.NOT_RUN.label())))
                .getOrElse(new PeerRefusal(RefusalCode.BACKEND_LOST, 0, true));
    }

    /** Returns whether another router may serve the request. */
    public boolean othersMayServe() {
        return !mayHaveRun
                && switch (code) {
                    case DRAINING, NOT_READY, NO_BACKEND -> true;
                    default -> false;
                };
    }
}
