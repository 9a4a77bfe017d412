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

/**
 * A stand-in engine's answer to one chat completion request, sent either as a stream of server-sent
 * events, one per token, or as a single JSON body.
 */
final class ChatAnswer implements CallerListener {
    private static final int OK = 200;

    private final String mEngineName;
    private final EngineProfile mProfile;
    private final HeaderFields mHeaders;
    private final CallerResponse mResponse;
    private final TimerService mTimers;
    private final Consumer<Boolean> mOnEnd;
    private int mTokensSent;
    private boolean mEnded;

    /**
     * Creates an answer that is not started.
     *
     * @param engineName the name from which the answer's tokens are made
     * @param onEnd called once when the answer ends, with whether it was sent completely
     */
    ChatAnswer(
            String engineName,
            EngineProfile profile,
            HeaderFields headers,
            CallerResponse response,
            TimerService timers,
            Consumer<Boolean> onEnd) {
        mEngineName = engineName;
        mProfile = profile;
        mHeaders = headers;
        mResponse = response;
        mTimers = timers;
        mOnEnd = onEnd;
    }

    CallerListener start(boolean stream, boolean promptCached) {
        int firstTokenMillis =
                mProfile.firstTokenMillis() + (promptCached ? 0 : mProfile.missMillis());
        if (stream) {
            mTimers.after(Duration.ofMillis(firstTokenMillis), this::beginStream);
        } else {
            int completeMillis =
                    firstTokenMillis + mProfile.tokens() * mProfile.betweenTokensMillis();
            mTimers.after(Duration.ofMillis(completeMillis), this::sendComplete);
        }
        return this;
    }

    private void beginStream() {
        if (!mEnded) {
            mResponse.begin(OK, mHeaders.with("content-type", "text/event-stream"));
            sendNextToken();
        }
    }

    private void sendNextToken() {
        if (mEnded) {
            return;
        }
        if (mProfile.cutAfterTokens() > 0 && mTokensSent == mProfile.cutAfterTokens()) {
            end(false);
            mResponse.abort();
        } else if (mTokensSent == mProfile.tokens()) {
            write("data: [DONE]\n\n");
            end(true);
            mResponse.finish();
        } else {
            write(
                    "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\""
                            + token(mTokensSent++)
                            + "\"}}]}\n\n");
            mTimers.after(Duration.ofMillis(mProfile.betweenTokensMillis()), this::sendNextToken);
        }
    }

    private void sendComplete() {
        if (mEnded) {
            return;
        }
        String text =
                IntStream.range(0, mProfile.tokens())
                        .mapToObj(this::token)
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

    private String token(int index) {
        return mEngineName + "-" + index + " ";
    }

    private void write(String text) {
        mResponse.write(StandardCharsets.UTF_8.encode(text));
    }

    private void end(boolean complete) {
        if (!mEnded) {
            mEnded = true;
            mOnEnd.accept(complete);
        }
    }

    @Override
    public void onWritable(boolean writable) {
        // No flow control: answers are short enough to wait in the connection's write buffer.
    }

    @Override
    public void onGone() {
        end(false);
    }
}
