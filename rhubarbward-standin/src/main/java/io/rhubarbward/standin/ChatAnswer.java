package io.rhubarbward.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.timer.TimerService;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** One answer of a stand-in engine, token by token or whole. */
final class ChatAnswer implements CallerListener {
    private static final int OK = 200;

    private final String mEngine;
    private final EngineProfile mProfile;
    private final HeaderFields mHeaders;
    private final CallerResponse mResponse;
    private final TimerService mTimers;
    private final Consumer<Boolean> mOnEnd;
    private int mTokens;
    private boolean mEnded;

    ChatAnswer(
            String engine,
            EngineProfile profile,
            HeaderFields headers,
            CallerResponse response,
            TimerService timers,
            Consumer<Boolean> onEnd) {
        mEngine = engine;
        mProfile = profile;
        mHeaders = headers;
        mResponse = response;
        mTimers = timers;
        mOnEnd = onEnd;
    }

    CallerListener start(boolean stream, boolean hit) {
        int wait = mProfile.firstTokenMillis() + (hit ? 0 : mProfile.missMillis());
        if (stream) {
            mTimers.after(Duration.ofMillis(wait), this::beginStream);
        } else {
            int whole = wait + mProfile.tokens() * mProfile.betweenTokensMillis();
            mTimers.after(Duration.ofMillis(whole), this::sendWhole);
        }
        return this;
    }

    private void beginStream() {
        if (!mEnded) {
            mResponse.begin(OK, mHeaders.with("content-type", "text/event-stream"));
            nextToken();
        }
    }

    private void nextToken() {
        if (mEnded) {
            return;
        }
        if (mProfile.cutAfterTokens() > 0 && mTokens == mProfile.cutAfterTokens()) {
            end(false);
            mResponse.abort();
        } else if (mTokens == mProfile.tokens()) {
            write("data: [DONE]\n\n");
            end(true);
            mResponse.finish();
        } else {
            write(
                    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\""
                            + word(mTokens++)
                            + "\"}}]}\n\n");
            mTimers.after(Duration.ofMillis(mProfile.betweenTokensMillis()), this::nextToken);
        }
    }

    private void sendWhole() {
        if (mEnded) {
            return;
        }
        String text =
                IntStream.range(0, mProfile.tokens())
                        .mapToObj(this::word)
                        .collect(Collectors.joining());
        ObjectMapper mapper = new ObjectMapper();
        var message = mapper.createObjectNode().put("role", "assistant").put("content", text);
        var choice = mapper.createObjectNode().put("index", 0).set("message", message);
        var body = mapper.createObjectNode().set("choices", mapper.createArrayNode().add(choice));
        end(true);
        String json = body.toString();
        mResponse.begin(
                OK,
                mHeaders.with("content-type", "application/json")
                        .with("content-length", Integer.toString(json.length())));
        mResponse.write(StandardCharsets.UTF_8.encode(json));
        mResponse.finish();
    }

    private String word(int index) {
        return mEngine + "-" + index + " ";
    }

    private void write(String text) {
        mResponse.write(StandardCharsets.UTF_8.encode(text));
    }

    private void end(boolean whole) {
        if (!mEnded) {
            mEnded = true;
            mOnEnd.accept(whole);
        }
    }

    @Override
    public void onWritable(boolean writable) {
        // Answers are short: what a slow reader leaves waits in the connection's buffer.
    }

    @Override
    public void onGone() {
        end(false);
    }
}
