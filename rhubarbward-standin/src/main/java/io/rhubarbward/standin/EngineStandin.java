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
 * A simulated model engine: answers chat completion requests with generated tokens and keeps an LRU
 * cache of the chats that it has seen, in place of a prompt cache.
 *
 * <ul>
 *   <li>{@code POST /v1/chat/completions}: an answer whose header {@code x-engine} has the engine's
 *       name, and {@code x-cache} is {@code hit} or {@code miss}.
 *   <li>{@code GET /engine/load}: a {@link LoadReport}.
 *   <li>{@code PUT /engine/profile} with an {@link EngineProfile}: changes the simulated behaviour.
 *   <li>{@code GET} or {@code POST /engine/orders}: returns or replaces the engine's order.
 * </ul>
 */
public final class EngineStandin implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CACHED_TOKENS_PER_CHAT = 500;

    private final String mName;
    private final String mIncarnation;
    private final TimerService mTimers;
    private final HttpListener mListener;
    // An LRU set of chat ids; the values have no meaning.
    private final Map<String, Integer> mCachedChats = new LinkedHashMap<>(16, 0.75f, true);
    private final EngineOrderEndpoint mOrderEndpoint = new EngineOrderEndpoint();
    private EngineProfile mProfile;
    private int mRunning;
    private long mServed;
    private boolean mLeaving;

    /** Starts to listen on the address; port 0 selects a free port. */
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

    /** Returns the address to connect to, as {@code host:port}. */
    public String address() {
        return "127.0.0.1:" + mListener.port();
    }

    /** Replaces the simulated behaviour; may be called on any thread. */
    public void profile(EngineProfile profile) {
        mTimers.execute(() -> mProfile = profile);
    }

    /**
     * Sets whether the load reports say that the engine takes no new requests. It answers those
     * that come nevertheless. May be called on any thread.
     */
    public void leaving(boolean leaving) {
        mTimers.execute(() -> mLeaving = leaving);
    }

    private CallerListener handle(CallerRequest request, CallerResponse response) {
        try {
            return switch (request.method() + " " + request.path()) {
                case "GET /engine/load" -> JsonResponses.send(response, OK, loadReport());
                case "PUT /engine/profile" -> {
                    mProfile = MAPPER.readValue(RequestReader.body(request), EngineProfile.class);
                    yield JsonResponses.send(response, OK, mProfile);
                }
                case "GET /engine/orders", "POST /engine/orders" ->
                        mOrderEndpoint.handle(request, response);
                case "POST /v1/chat/completions" -> chat(request, response);
                default -> JsonResponses.send(response, NOT_FOUND, "text/plain", "unknown path");
            };
        } catch (JsonProcessingException e) {
            return JsonResponses.send(response, BAD_REQUEST, "text/plain", String.valueOf(e));
        }
    }

    private LoadReport loadReport() {
        return new LoadReport(
                mIncarnation,
                mRunning,
                0,
                mServed,
                (long) mCachedChats.size() * CACHED_TOKENS_PER_CHAT,
                mLeaving);
    }

    private CallerListener chat(CallerRequest request, CallerResponse response)
            throws JsonProcessingException {
        JsonNode body = MAPPER.readTree(RequestReader.body(request));
        if (mProfile.silent()) {
            return JsonResponses.NO_OP_LISTENER;
        }
        String chatId = request.headers().first("x-chat-id").orElse(body.path("chat_id").asText());
        boolean promptCached = mCachedChats.put(chatId, 1) != null;
        if (mCachedChats.size() > mProfile.cachedChats()) {
            mCachedChats.remove(mCachedChats.keySet().iterator().next());
        }
        HeaderFields headers =
                HeaderFields.of("x-engine", mName).with("x-cache", promptCached ? "hit" : "miss");
        mRunning++;
        ChatAnswer answer =
                new ChatAnswer(mName, mProfile, headers, response, mTimers, this::onAnswerEnd);
        return answer.start(body.path("stream").asBoolean(), promptCached);
    }

    private void onAnswerEnd(boolean complete) {
        mRunning--;
        mServed += complete ? 1 : 0;
    }

    @Override
    public void close() {
        mListener.close();
    }
}
