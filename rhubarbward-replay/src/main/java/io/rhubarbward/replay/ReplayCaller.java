package io.rhubarbward.replay;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.request.HeaderFields;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** A caller that checks what it is answered. */
final class ReplayCaller implements CallerResponse {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final int BACKEND_ERROR = 500;

    private final String mId;
    private final ReplayBackends mBackends;
    private final PromiseLog mPromises;
    private final Measures mMeasures;
    private final StringBuilder mBody = new StringBuilder();
    private int mStatus;
    private boolean mOver;

    ReplayCaller(String id, ReplayBackends backends, PromiseLog promises, Measures measures) {
        mId = id;
        mBackends = backends;
        mPromises = promises;
        mMeasures = measures;
    }

    boolean over() {
        return mOver;
    }

    @Override
    public void begin(int status, HeaderFields headers) {
        mStatus = status;
    }

    @Override
    public void write(ByteBuffer part) {
        mBody.append(StandardCharsets.UTF_8.decode(part.duplicate()));
    }

    @Override
    public void finish() {
        mOver = true;
        String body = mBody.toString();
        if (mStatus != OK) {
            checkRefusal(body);
        } else if (body.contains("event: error")) {
            mMeasures.refused("cut, and said so");
        } else {
            mMeasures.answered();
            mPromises.check(
                    Promise.ANSWERS_WHOLE,
                    mBackends.ownAnswer(mId, body),
                    () -> mId + " was answered " + body);
        }
    }

    private void checkRefusal(String body) {
        if (mStatus == BACKEND_ERROR) {
            mMeasures.refused("the engine's own error");
            return;
        }
        JsonNode problem = problem(body);
        mMeasures.refused(problem.path("code").asText());
        if (problem.path("run").asText().equals("not-run")) {
            mPromises.check(
                    Promise.NOT_RUN_TRUE,
                    !mBackends.started(mId),
                    () -> mId + " was refused as not run and had run: " + body);
        }
    }

    private static JsonNode problem(String body) {
        try {
            return MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("a refusal that is no problem: " + body, e);
        }
    }

    @Override
    public void abort() {
        mOver = true;
        mMeasures.refused("cut, and the connection closed");
    }
}
