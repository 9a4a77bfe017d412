package io.rhubarbward.replay;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.request.HeaderFields;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** A caller that checks that its answer is whole and its own, and that refusals are true. */
final class ReplayCaller implements CallerResponse {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final int BACKEND_ERROR = 500;

    private final String mId;
    private final ReplayBackends mBackends;
    private final PromiseChecker mPromises;
    private final Measures mMeasures;
    private final StringBuilder mBody = new StringBuilder();
    private int mStatus;
    private boolean mEnded;

    ReplayCaller(String id, ReplayBackends backends, PromiseChecker promises, Measures measures) {
        mId = id;
        mBackends = backends;
        mPromises = promises;
        mMeasures = measures;
    }

    boolean ended() {
        return mEnded;
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
        mEnded = true;
        String body = mBody.toString();
        if (mStatus != OK) {
            checkRefusal(body);
        } else if (body.contains("event: error")) {
            mMeasures.countFailure("cut, and said so");
        } else {
            mMeasures.countAnswered();
            mPromises.check(
                    Promise.ANSWERS_WHOLE,
                    mBackends.isExpectedAnswer(mId, body),
                    () -> mId + " was answered " + body);
        }
    }

    private void checkRefusal(String body) {
        if (mStatus == BACKEND_ERROR) {
            mMeasures.countFailure("the engine's own error");
            return;
        }
        JsonNode problem = problem(body);
        mMeasures.countFailure(problem.path("code").asText());
        if (problem.path("run").asText().equals("not-run")) {
            mPromises.check(
                    Promise.NOT_RUN_TRUE,
                    !mBackends.hasStarted(mId),
                    () -> mId + " was refused as not run and had run: " + body);
        }
    }

    private static JsonNode problem(String body) {
        try {
            return MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("the body of a refusal is not JSON: " + body, e);
        }
    }

    @Override
    public void abort() {
        mEnded = true;
        mMeasures.countFailure("cut, and the connection closed");
    }
}
