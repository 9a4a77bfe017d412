package io.rhubarbward.cli;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.config.Settings;
import io.rhubarbward.config.SettingsReader;
import io.rhubarbward.config.SettingsText;
import io.rhubarbward.daemon.RouterProcessSettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that the settings files under {@code examples/} are valid and describe both sites. */
final class ExamplesTest {
    @ParameterizedTest
    @CsvSource({
        "lima, assistant, 13",
        "lima, dispatch, 3",
        "kyushu, assistant, 6",
        "kyushu, ordering, 3"
    })
    void anExampleSiteHasTheExpectedNumberOfReplicas(String site, String service, int replicas)
            throws IOException {
        Settings settings =
                new SettingsReader()
                        .read(List.of(readExample("base.json"), readExample(site + ".json")))
                        .get();
        assertThat(
                        settings.backendServers().values().stream()
                                .filter(server -> server.service().equals(service))
                                .toList())
                .hasSize(replicas);
        assertThat(settings.dataCentres()).hasSize(3);
        assertThat(settings.accounts()).hasSize(10);
    }

    @Test
    void theExampleRouterSettingsAreValid() throws IOException {
        assertThat(
                        SettingsReader.readAs(
                                        RouterProcessSettings.class, readExample("router.json"))
                                .isRight())
                .isTrue();
    }

    private static SettingsText readExample(String name) throws IOException {
        return new SettingsText(name, Files.readString(Path.of("../examples", name)));
    }
}
