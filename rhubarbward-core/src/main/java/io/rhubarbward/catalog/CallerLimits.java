package io.rhubarbward.catalog;

/**
 * Size limits and timeouts for callers' requests.
 *
 * @param maxHeadBytes largest accepted header section
 * @param maxBodyBytes largest accepted body
 * @param headMillis timeout for receiving a header section
 * @param idleMillis timeout of a connection that is idle between requests
 */
public record CallerLimits(int maxHeadBytes, int maxBodyBytes, int headMillis, int idleMillis) {
    public CallerLimits {
        if (maxHeadBytes <= 0 || maxBodyBytes < 0 || headMillis <= 0 || idleMillis <= 0) {
            throw new IllegalArgumentException(
                    "caller limits: maxHeadBytes "
                            + maxHeadBytes
                            + ", maxBodyBytes "
                            + maxBodyBytes
                            + ", headMillis "
                            + headMillis
                            + ", idleMillis "
                            + idleMillis
                            + "; expected maxBodyBytes at least 0 and the others above 0");
        }
    }
}
