package io.rhubarbward.net.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.request.HeaderFields;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Sends complete responses with a JSON or text body. */
public final class JsonResponses {
    /** A listener that ignores all events. */
    public static final CallerListener NO_OP_LISTENER =
            new CallerListener() {
                @Override
                public void onWritable(boolean writable) {}

                @Override
                public void onGone() {}
            };

    private static final ObjectMapper MAPPER =
            JsonMapper.builder().enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS).build();

    private static final String JSON = "application/json";

    private JsonResponses() {}

    /** Sends a response with the value as its JSON body. */
    public static CallerListener send(CallerResponse response, int status, Object value) {
        return send(response, status, JSON, render(value));
    }

    /** Sends a response with the value as its JSON body and further header fields. */
    public static CallerListener send(
            CallerResponse response, int status, HeaderFields headers, Object value) {
        return send(response, status, headers.with("content-type", JSON), render(value));
    }

    /** Sends a response with the text as its body, in UTF-8. */
    public static CallerListener send(
            CallerResponse response, int status, String contentType, String text) {
        return send(response, status, HeaderFields.of("content-type", contentType), text);
    }

    private static CallerListener send(
            CallerResponse response, int status, HeaderFields headers, String text) {
        ByteBuffer body = StandardCharsets.UTF_8.encode(text);
        response.begin(status, headers.with("content-length", Integer.toString(body.remaining())));
        response.write(body);
        response.finish();
        return NO_OP_LISTENER;
    }

    private static String render(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("value cannot be serialized as JSON", e);
        }
    }
}
