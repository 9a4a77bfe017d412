package io.rhubarbward.net.http;

import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Decodes requests, one at a time, and encodes responses by the methods of their requests. It does
 * what the library's codec for servers does, whose decoder cannot be replaced.
 */
final class ListenerCodec
        extends CombinedChannelDuplexHandler<RequestDecoder, HttpResponseEncoder> {
    private final Queue<HttpMethod> mMethods = new ArrayDeque<>();

    ListenerCodec(HttpDecoderConfig config, Supplier<HttpLimits> limits, HttpResources resources) {
        init(new MethodRecorder(config, limits, resources), new MethodAwareEncoder());
    }

    /** Returns whether a head has begun and not ended. */
    boolean headBegun() {
        return inboundHandler().headBegun();
    }

    private final class MethodRecorder extends RequestDecoder {
        MethodRecorder(
                HttpDecoderConfig config, Supplier<HttpLimits> limits, HttpResources resources) {
            super(config, limits, resources);
        }

        @Override
        void onDecoded(List<Object> messages) {
            messages.stream()
                    .filter(HttpRequest.class::isInstance)
                    .forEach(message -> mMethods.add(((HttpRequest) message).method()));
        }
    }

    private final class MethodAwareEncoder extends HttpResponseEncoder {
        private @Nullable HttpMethod mMethod;

        @Override
        protected boolean isContentAlwaysEmpty(HttpResponse response) {
            if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                return super.isContentAlwaysEmpty(response);
            }
            mMethod = mMethods.poll();
            return HttpMethod.HEAD.equals(mMethod) || super.isContentAlwaysEmpty(response);
        }

        @Override
        protected void sanitizeHeadersBeforeEncode(HttpResponse response, boolean alwaysEmpty) {
            if (!alwaysEmpty
                    && HttpMethod.CONNECT.equals(mMethod)
                    && response.status().codeClass() == HttpStatusClass.SUCCESS) {
                response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
                return;
            }
            super.sanitizeHeadersBeforeEncode(response, alwaysEmpty);
        }
    }
}
