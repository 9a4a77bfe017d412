package io.rhubarbward.net.platform;

import io.rhubarbward.net.platform.PlatformWire.VmBody;
import io.rhubarbward.net.platform.PlatformWire.VmsBody;
import io.rhubarbward.store.PlatformFailure;
import io.rhubarbward.store.Vm;
import io.rhubarbward.store.VmList;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.asynchttpclient.AsyncHttpClient;

/** The client of the platform's VM list over HTTP. */
public final class HttpVmList implements VmList {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

    private final PlatformHttp mHttp;

    /** Creates a client of the platform at the address, given as {@code host:port}. */
    public HttpVmList(AsyncHttpClient client, String address, TimerService timers) {
        mHttp = new PlatformHttp(client, address, timers);
    }

    @Override
    public CompletionStage<Either<PlatformFailure, List<Vm>>> read() {
        return mHttp.call(
                mHttp.prepare("GET", "/vms"),
                null,
                REQUEST_TIMEOUT,
                text ->
                        PlatformWire.read(text, VmsBody.class)
                                .map(body -> body.vms().stream().map(VmBody::vm).toList()));
    }
}
