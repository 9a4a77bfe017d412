package io.rhubarbward.testing;

import io.rhubarbward.request.BackendCall;
import io.rhubarbward.request.BackendClient;
import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.request.BackendListener;
import io.rhubarbward.request.BackendRequest;
import io.rhubarbward.request.ConnectionUse;
import io.rhubarbward.request.HeaderFields;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A backend client that records requests and lets the test answer each one explicitly. */
public final class FakeBackends implements BackendClient {
    private final List<Sent> mSent = new ArrayList<>();
    private boolean mKeepConnections;

    @Override
    public BackendCall send(BackendRequest request, BackendListener listener) {
        Sent sent = new Sent(request, listener, mKeepConnections);
        mSent.add(sent);
        return sent;
    }

    /** Sends further requests on connections that were used before. */
    public void keepConnections() {
        mKeepConnections = true;
    }

    /** Returns the requests that were sent, in order. */
    public List<Sent> sent() {
        return mSent;
    }

    /** Returns the last request that was sent. */
    public Sent last() {
        return mSent.get(mSent.size() - 1);
    }

    /** A request that was sent; its methods give the backend server's answer. */
    public static final class Sent implements BackendCall {
        private final BackendRequest mRequest;
        private final BackendListener mListener;
        private final boolean mKeptConnection;
        private boolean mCancelled;
        private boolean mPaused;
        private boolean mConnecting;

        Sent(BackendRequest request, BackendListener listener, boolean keptConnection) {
            mRequest = request;
            mListener = listener;
            mKeptConnection = keptConnection;
        }

        public BackendRequest request() {
            return mRequest;
        }

        public String server() {
            return mRequest.server().name();
        }

        public Sent head(int status, String contentType) {
            mListener.onHead(status, HeaderFields.of("content-type", contentType));
            return this;
        }

        public Sent head(int status, HeaderFields headers) {
            mListener.onHead(status, headers);
            return this;
        }

        public Sent part(String text) {
            mListener.onPart(StandardCharsets.UTF_8.encode(text));
            return this;
        }

        public void complete() {
            mListener.onComplete();
        }

        public void fail(BackendFailure failure) {
            mListener.onFailure(failure);
        }

        /** Leaves the request at a connection that does not come about, so that it is not sent. */
        public Sent connecting() {
            mConnecting = true;
            return this;
        }

        @Override
        public boolean mayHaveBeenSent() {
            return !mConnecting;
        }

        public boolean cancelled() {
            return mCancelled;
        }

        public boolean paused() {
            return mPaused;
        }

        @Override
        public void pause() {
            mPaused = true;
        }

        @Override
        public void resume() {
            mPaused = false;
        }

        @Override
        public ConnectionUse connection() {
            return new ConnectionUse("c", mKeptConnection ? 1 : 0);
        }

        @Override
        public void cancel() {
            mCancelled = true;
        }
    }
}
