package io.rhubarbward.standin.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.net.URL;
import java.nio.charset.StandardCharsets;

/** A simulated, blocking client of the platform, with the API key of {@link SampleConfig}. */
public final class CallerStandin {
    private static final int FIRST_ERROR_STATUS = 400;

    private final int mRouterPort;

    /** Creates a client of the router that listens on the given port of 127.0.0.1. */
    public CallerStandin(int routerPort) {
        mRouterPort = routerPort;
    }

    /** Sends a request without a body and waits for the complete answer. */
    public Reply send(String method, String path, String attemptId) throws IOException {
        return send(method, path, attemptId, new byte[0]);
    }

    /** Sends a request and waits for the complete answer. */
    public Reply send(String method, String path, String attemptId, byte[] requestBody)
            throws IOException {
        URL url = URI.create("http://127.0.0.1:" + mRouterPort + path).toURL();
        HttpURLConnection connection = (HttpURLConnection) url.openConnection();
        connection.setRequestMethod(method);
        connection.setRequestProperty("Rhubarbward-Attempt-Id", attemptId);
        connection.setRequestProperty("Rhubarbward-Deadline-Remaining", "4000");
        connection.setRequestProperty("Authorization", "Bearer " + SampleConfig.API_KEY);
        connection.setRequestProperty("Rhubarbward-Model-Name", "m");
        connection.setRequestProperty("Rhubarbward-Token-Count", "100,10");
        connection.setRequestProperty("Rhubarbward-Prompt-Prefix", "5c1e:80,91bd:20");
        if (requestBody.length > 0) {
            connection.setDoOutput(true);
            connection.setFixedLengthStreamingMode(requestBody.length);
            try (OutputStream out = connection.getOutputStream()) {
                out.write(requestBody);
            }
        }
        int status = connection.getResponseCode();
        try (InputStream body =
                status < FIRST_ERROR_STATUS
                        ? connection.getInputStream()
                        : connection.getErrorStream()) {
            return new Reply(status, new String(body.readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    /**
     * An answer to a request.
     *
     * @param status the HTTP status
     * @param body the body, decoded as UTF-8
     */
    public record Reply(int status, String body) {}
}
