package io.rhubarbward.net.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.net.loop.EventLoopTimerService;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Callers that close their connections while the event loop is busy, over real sockets. */
final class DepartedCallerTest {
    private static final int TIMEOUT_SECONDS = 10;
    private static final HttpLimits LIMITS = new HttpLimits(1024, 2048, 60_000, 60_000);

    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final EventLoopTimerService mTimers =
            new EventLoopTimerService(mGroup.next(), EventLog.none());
    private final List<String> mServedWhilePresent = new CopyOnWriteArrayList<>();
    private final CountDownLatch mOpenServed = new CountDownLatch(1);
    private final CountDownLatch mOpenGone = new CountDownLatch(1);
    private final HttpListener mListener =
            HttpListener.open(
                    mGroup,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    mTimers,
                    () -> LIMITS,
                    this::serve);

    @AfterEach
    void close() {
        mListener.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private CallerListener serve(CallerRequest request, CallerResponse response) {
        if (response.callerPresent()) {
            mServedWhilePresent.add(request.target());
        }
        if (!request.target().equals("/open")) {
            return JsonResponses.send(response, 200, Map.of());
        }
        mOpenServed.countDown();
        return new CallerListener() {
            @Override
            public void onWritable(boolean writable) {}

            @Override
            public void onGone() {
                mOpenGone.countDown();
            }
        };
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), mListener.port());
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        return socket;
    }

    private static void request(Socket socket, String... targets) throws IOException {
        StringBuilder text = new StringBuilder();
        for (String target : targets) {
            text.append("GET ").append(target).append(" HTTP/1.1\r\nHost: a\r\n\r\n");
        }
        socket.getOutputStream().write(text.toString().getBytes(StandardCharsets.UTF_8));
    }

    // Guards against incident 36: requests were sent on although their callers' close had arrived.
    @Test
    void aCallerThatClosedBeforeItsRequestWasReadIsKnownToBeGone() throws Exception {
        try (Socket kept = connect()) {
            request(kept, "/first");
            assertThat(kept.getInputStream().read()).isAtLeast(0);
            CountDownLatch loopIsBusy = new CountDownLatch(1);
            CountDownLatch loopGoesOn = new CountDownLatch(1);
            mGroup.execute(
                    () -> {
                        loopIsBusy.countDown();
                        awaitOrFail(loopGoesOn);
                    });
            awaitOrFail(loopIsBusy);
            request(kept, "/left-kept");
            kept.close();
            try (Socket fresh = connect()) {
                request(fresh, "/left-new");
            }
            loopGoesOn.countDown();
            // A new connection is accepted in one iteration of the loop and read in the next one.
            for (String target : List.of("/stayed-1", "/stayed-2")) {
                try (Socket other = connect()) {
                    request(other, target);
                    assertThat(other.getInputStream().read()).isAtLeast(0);
                }
            }
        }
        assertThat(mServedWhilePresent)
                .containsExactly("/first", "/stayed-1", "/stayed-2")
                .inOrder();
    }

    // While a caller's next request waits, its close must still be seen.
    @Test
    void aCallerThatHasSentItsNextRequestIsNoticedWhenItLeaves() throws Exception {
        try (Socket caller = connect()) {
            request(caller, "/open", "/next");
            awaitOrFail(mOpenServed);
        }
        awaitOrFail(mOpenGone);
    }

    private static void awaitOrFail(CountDownLatch latch) {
        try {
            assertThat(latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
