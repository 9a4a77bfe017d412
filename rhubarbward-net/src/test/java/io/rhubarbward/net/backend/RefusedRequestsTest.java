package io.rhubarbward.net.backend;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

final class RefusedRequestsTest {
    private final RefusedRequests mRefused = new RefusedRequests();
    private final EmbeddedChannel mConnection = new EmbeddedChannel();

    @Test
    void knowsARequestAtTheAddressThatRefusedItAlone() {
        mRefused.record("10.0.0.1:80", mConnection, "r-1");
        assertThat(mRefused.contains("10.0.0.1:80", "r-1")).isTrue();
        assertThat(mRefused.contains("10.0.0.1:80", "r-2")).isFalse();
        assertThat(mRefused.contains("10.0.0.2:80", "r-1")).isFalse();
    }

    /** Guards against memory that grows with every connection that was ever opened. */
    @Test
    void forgetsAConnectionThatIsClosed() {
        EmbeddedChannel other = new EmbeddedChannel();
        mRefused.record("10.0.0.1:80", mConnection, "r-1");
        mRefused.record("10.0.0.1:80", other, "r-2");
        mConnection.close();
        assertThat(mRefused.contains("10.0.0.1:80", "r-1")).isFalse();
        assertThat(mRefused.contains("10.0.0.1:80", "r-2")).isTrue();
        other.close();
        assertThat(mRefused.connectionCount()).isEqualTo(0);
    }

    /** Guards against a connection that is kept forever, since it was closed before. */
    @Test
    void doesNotKeepAConnectionThatWasClosedBefore() {
        EmbeddedChannel open = new EmbeddedChannel();
        mRefused.record("10.0.0.1:80", open, "r-2");
        mConnection.close();
        mRefused.record("10.0.0.1:80", mConnection, "r-1");
        assertThat(mRefused.connectionCount()).isEqualTo(1);
        open.close();
        assertThat(mRefused.connectionCount()).isEqualTo(0);
    }
}
