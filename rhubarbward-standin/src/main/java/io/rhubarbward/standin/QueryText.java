package io.rhubarbward.standin;

import io.netty.handler.codec.http.QueryStringDecoder;
import io.rhubarbward.request.CallerRequest;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Reads what stand-ins are sent. */
final class QueryText {
    private QueryText() {}

    static String parameter(CallerRequest request, String name, String absent) {
        List<String> values = new QueryStringDecoder(request.target()).parameters().get(name);
        return values == null ? absent : values.get(0);
    }

    static long number(CallerRequest request, String name, long absent) {
        return Long.parseLong(parameter(request, name, Long.toString(absent)));
    }

    static String body(CallerRequest request) {
        return StandardCharsets.UTF_8.decode(request.body()).toString();
    }
}
