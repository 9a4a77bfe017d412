package io.rhubarbward.net.backend;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

final class PausableReadsTest {
    /** Guards against answers that pile up in memory while their caller does not read. */
    @Test
    void nothingIsReadWhileAutomaticReadingIsOff() {
        AtomicInteger reads = new AtomicInteger();
        EmbeddedChannel channel =
                new EmbeddedChannel(
                        new ChannelOutboundHandlerAdapter() {
                            @Override
                            public void read(ChannelHandlerContext context) throws Exception {
                                reads.incrementAndGet();
                                super.read(context);
                            }
                        },
                        new PausableReads());
        channel.config().setAutoRead(false);
        int readsBefore = reads.get();
        channel.read();
        assertThat(reads.get()).isEqualTo(readsBefore);
        channel.config().setAutoRead(true);
        assertThat(reads.get()).isGreaterThan(readsBefore);
    }
}
