package io.rhubarbward.standin.fleet;

/**
 * A replica's answer that a request did not run.
 *
 * @param attemptId the id of the request
 * @param status the HTTP status
 * @param retryAfter the seconds for which the replica wants no request; "" if it does not say
 * @param statementFirst whether the statement stands before the id in the head
 */
public record ReplicaRefusal(
        String attemptId, int status, String retryAfter, boolean statementFirst) {
    private static final String BODY = "not executed";

    /** Returns the answer with its body. */
    public String whole() {
        return head() + "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY;
    }

    /** Returns the answer with its body as a chunk. */
    public String chunked() {
        return head()
                + "Transfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(BODY.length())
                + "\r\n"
                + BODY
                + "\r\n0\r\n\r\n";
    }

    /** Returns the answer with an empty body. */
    public String withoutBody() {
        return head() + "Content-Length: 0\r\n\r\n";
    }

    private String head() {
        String id = "Rhubarbward-Attempt-Id: " + attemptId + "\r\n";
        String statement = "Rhubarbward-Not-Executed: 1\r\n";
        return "HTTP/1.1 "
                + status
                + " Refused\r\n"
                + (statementFirst ? statement + id : id + statement)
                + (retryAfter.isEmpty() ? "" : "Retry-After: " + retryAfter + "\r\n");
    }
}
