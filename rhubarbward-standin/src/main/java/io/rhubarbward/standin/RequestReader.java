package io.rhubarbward.standin;

import io.netty.handler.codec.http.QueryStringDecoder;
import io.rhubarbward.request.CallerRequest;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Reads query parameters and the body of a request to a stand-in. */
final class RequestReader {
    private RequestReader() {}

    static String parameter(CallerRequest request, String name, String defaultValue) {
        List<String> values = new QueryStringDecoder(request.target()).parameters().get(name);
        return values == null ? defaultValue : values.get(0);
    }

    static long number(CallerRequest request, String name, long defaultValue) {
        return Long.parseLong(parameter(request, name, Long.toString(defaultValue)));
    }

    static String body(CallerRequest request) {
        return StandardCharsets.UTF_8.decode(request.body()).toString();
    }
}
