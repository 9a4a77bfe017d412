package io.rhubarbward.config;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

final class QuotaSettingsTest {
    private static final int HEARTBEAT_MILLIS = 1000;

    @Test
    void aLeaseThatCouldExpireBetweenALiveRoutersHeartbeatsIsRefused() {
        InvalidSettingException refused =
                assertThrows(
                        InvalidSettingException.class,
                        () -> new QuotaSettings(2 * HEARTBEAT_MILLIS, 0));
        assertThat(refused.setting()).isEqualTo("leaseMillis");
    }
}
