package io.rhubarbward.net.platform;

import io.rhubarbward.net.platform.PlatformWire.ListBody;
import io.rhubarbward.net.platform.PlatformWire.ObjectBody;
import io.rhubarbward.net.platform.PlatformWire.WatchBody;
import io.rhubarbward.store.EitherStage;
import io.rhubarbward.store.ObjectKey;
import io.rhubarbward.store.ObjectStore;
import io.rhubarbward.store.PlatformFailure;
import io.rhubarbward.store.PlatformFailure.Reason;
import io.rhubarbward.store.StoredObject;
import io.rhubarbward.store.WatchBatch;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.asynchttpclient.AsyncHttpClient;

/** The client of the platform's object API over HTTP. */
public final class HttpObjectStore implements ObjectStore {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final long ABSENT_VERSION = 0;

    private final PlatformHttp mHttp;

    /** Creates a client of the platform at the address, given as {@code host:port}. */
    public HttpObjectStore(AsyncHttpClient client, String address, TimerService timers) {
        mHttp = new PlatformHttp(client, address, timers);
    }

    @Override
    public CompletionStage<Either<PlatformFailure, StoredObject>> read(ObjectKey key) {
        return mHttp.call(
                mHttp.prepare("GET", "/objects/" + key),
                key,
                REQUEST_TIMEOUT,
                HttpObjectStore::parseObject);
    }

    @Override
    public CompletionStage<Either<PlatformFailure, StoredObject>> create(
            ObjectKey key, String value) {
        return put(key, value, ABSENT_VERSION);
    }

    @Override
    public CompletionStage<Either<PlatformFailure, StoredObject>> update(
            ObjectKey key, String value, long expectedVersion) {
        return put(key, value, expectedVersion);
    }

    private CompletionStage<Either<PlatformFailure, StoredObject>> put(
            ObjectKey key, String value, long expectedVersion) {
        byte[] body = value.getBytes(StandardCharsets.UTF_8);
        if (body.length > MAX_VALUE_BYTES) {
            return EitherStage.completed(
                    Either.left(new PlatformFailure.Unavailable(Reason.VALUE_TOO_LARGE)));
        }
        String path = "/objects/" + key + "?expect=" + expectedVersion;
        return mHttp.call(
                mHttp.prepare("PUT", path).setBody(body),
                key,
                REQUEST_TIMEOUT,
                HttpObjectStore::parseObject);
    }

    @Override
    public CompletionStage<Either<PlatformFailure, ObjectKey>> delete(
            ObjectKey key, long expectedVersion) {
        String path = "/objects/" + key + "?expect=" + expectedVersion;
        return mHttp.call(
                mHttp.prepare("DELETE", path), key, REQUEST_TIMEOUT, text -> Either.right(key));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, List<Listed>>> list(String prefix) {
        return mHttp.call(
                mHttp.prepare("GET", "/list").addQueryParam("prefix", prefix),
                null,
                REQUEST_TIMEOUT,
                text -> PlatformWire.read(text, ListBody.class).map(ListBody::listed));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, WatchBatch>> watch(
            String prefix, long afterRevision, Duration wait) {
        return mHttp.call(
                mHttp.prepare("GET", "/watch")
                        .addQueryParam("prefix", prefix)
                        .addQueryParam("after", Long.toString(afterRevision))
                        .addQueryParam("waitMillis", Long.toString(wait.toMillis())),
                null,
                wait.plus(REQUEST_TIMEOUT),
                text -> PlatformWire.read(text, WatchBody.class).map(WatchBody::batch));
    }

    private static Either<PlatformFailure, StoredObject> parseObject(String text) {
        return PlatformWire.read(text, ObjectBody.class).map(ObjectBody::object);
    }
}
