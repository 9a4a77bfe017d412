package io.rhubarbward.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.rhubarbward.engine.LoadReport;
import io.rhubarbward.net.http.HttpLimits;
import io.rhubarbward.net.http.HttpListener;
import io.rhubarbward.net.http.JsonResponses;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.timer.TimerService;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Stands in for a model engine: answers chats token by token and holds prompts in a small cache.
 *
 * <p>{@code GET /engine/load} reports its load; {@code PUT /engine/profile} with an {@link
 * EngineProfile} changes how it behaves; {@code POST /engine/orders} gives it an order. Its answers
 * name it in {@code x-engine} and say in {@code x-cache} whether the chat's prompt was cached.
 */
public final class EngineStandin implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int TOKENS_PER_CHAT = 500;

    private final String mName;
    private final String mIncarnation;
    private final TimerService mTimers;
    private final HttpListener mListener;
    private final Map<String, Integer> mCache = new LinkedHashMap<>(16, 0.75f, true);
    private final OrderBook mOrders = new OrderBook();
    private EngineProfile mProfile;
    private int mRunning;
    private long mServed;
    private boolean mLeaving;

    /** Listens at the address; port 0 takes a free one. */
    public EngineStandin(
            String name,
            String incarnation,
            EngineProfile profile,
            EventLoopGroup group,
            InetSocketAddress address,
            TimerService timers) {
        mName = name;
        mIncarnation = incarnation;
        mProfile = profile;
        mTimers = timers;
        mListener =
                HttpListener.open(group, address, timers, () -> HttpLimits.INTERNAL, this::handle);
    }

    /** Returns host and port. */
    public String address() {
        return "127.0.0.1:" + mListener.port();
    }

    /** Changes how the engine behaves; may be called on any thread. */
    public void profile(EngineProfile profile) {
        mTimers.execute(() -> mProfile = profile);
    }

    /** Says in its reports whether it wants no new work; may be called on any thread. */
    public void leaving(boolean leaving) {
        mTimers.execute(() -> mLeaving = leaving);
    }

    private CallerListener handle(CallerRequest request, CallerResponse response) {
        try {
            return switch (request.method() + " " + request.path()) {
                case "GET /engine/load" -> JsonResponses.send(response, OK, load());
                case "PUT /engine/profile" -> {
                    mProfile = MAPPER.readValue(QueryText.body(request), EngineProfile.class);
                    yield JsonResponses.send(response, OK, mProfile);
                }
                case "GET /engine/orders", "POST /engine/orders" ->
                        mOrders.handle(request, response);
                case "POST /v1/chat/completions" -> chat(request, response);
                default -> JsonResponses.send(response, NOT_FOUND, "text/plain", "unknown path");
            };
        } catch (JsonProcessingException e) {
            return JsonResponses.send(response, BAD_REQUEST, "text/plain", String.valueOf(e));
        }
    }

    private LoadReport load() {
        return new LoadReport(
                mIncarnation,
                mRunning,
                0,
                mServed,
                (long) mCache.size() * TOKENS_PER_CHAT,
                mLeaving);
    }

    private CallerListener chat(CallerRequest request, CallerResponse response)
            throws JsonProcessingException {
        JsonNode body = MAPPER.readTree(QueryText.body(request));
        if (mProfile.silent()) {
            return JsonResponses.NO_OP_LISTENER;
        }
        String chat = request.headers().first("x-chat-id").orElse(body.path("chat_id").asText());
        boolean hit = mCache.put(chat, 1) != null;
        if (mCache.size() > mProfile.cachedChats()) {
            mCache.remove(mCache.keySet().iterator().next());
        }
        HeaderFields headers =
                HeaderFields.of("x-engine", mName).with("x-cache", hit ? "hit" : "miss");
        mRunning++;
        ChatAnswer answer =
                new ChatAnswer(mName, mProfile, headers, response, mTimers, this::onEnd);
        return answer.start(body.path("stream").asBoolean(), hit);
    }

    private void onEnd(boolean whole) {
        mRunning--;
        mServed += whole ? 1 : 0;
    }

    @Override
    public void close() {
        mListener.close();
    }
}
