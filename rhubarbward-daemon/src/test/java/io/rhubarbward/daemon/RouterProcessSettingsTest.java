package io.rhubarbward.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.config.SettingsText;
import java.util.List;
import org.junit.jupiter.api.Test;

final class RouterProcessSettingsTest {
    private static final String WITHOUT_SEEDS =
            """
            {
              "vm": "entry-1", "site": "lima", "dataCentre": "lima-norte",
              "platform": "127.0.0.1:7000", "callers": "127.0.0.1:0",
              "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"
            }
            """;

    @Test
    void seedsAreOptional() {
        assertThat(read(WITHOUT_SEEDS).seeds()).isEmpty();
        assertThat(read(WITHOUT_SEEDS.replace("{", "{\"seeds\": [\"10.0.1.2:8082\"],")).seeds())
                .isEqualTo(List.of("10.0.1.2:8082"));
    }

    private static RouterProcessSettings read(String text) {
        return RouterProcessSettings.read(new SettingsText("router.json", text)).get();
    }
}
