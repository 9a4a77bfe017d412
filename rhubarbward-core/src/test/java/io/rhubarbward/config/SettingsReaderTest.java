package io.rhubarbward.config;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.testing.Site;
import java.util.List;
import java.util.Objects;
import org.junit.jupiter.api.Test;

final class SettingsReaderTest {
    private final SettingsReader mReader = new SettingsReader();

    @Test
    void defaultsBaseAndOverlayMergeInThatOrder() {
        Settings settings =
                mReader.read(
                                List.of(
                                        new SettingsText("base.json", Site.SETTINGS),
                                        new SettingsText(
                                                "overlay.json",
                                                "{\"accounts\": {\"acme\": {\"burst\": 7}},"
                                                        + " \"backendServers\":"
                                                        + " {\"orders-2\": null}}")))
                        .get();
        ClientAccount acme = Objects.requireNonNull(settings.accounts().get("acme"));
        assertThat(acme.burst()).isEqualTo(7);
        assertThat(acme.priority()).isEqualTo(ClientAccount.Priority.NORMAL);
        assertThat(settings.backendServers()).doesNotContainKey("orders-2");
    }

    @Test
    void aValueOutOfRangeIsRefusedWithItsLocationAndTheAllowedRange() {
        ConfigFailure failure =
                refusal("{\n  // A comment.\n  \"accounts\": {\"acme\": {\"burst\": 0}}\n}");
        assertThat(failure.message())
                .isEqualTo("overlay.json:3:34: accounts.acme.burst: 0: expected from 1 to 1000000");
    }

    @Test
    void anUnknownNameIsRefusedWithTheMostSimilarKnownOne() {
        ConfigFailure failure = refusal("{\"accounts\": {\"acme\": {\"brust\": 3}}}");
        assertThat(failure.message())
                .isEqualTo(
                        "overlay.json:1:33: accounts.acme.brust: 3: expected a known name; did you"
                                + " mean \"burst\"?");
    }

    @Test
    void aValueOfTheWrongTypeIsRefused() {
        assertThat(refusal("{\"drain\": {\"noticeMillis\": \"soon\"}}").message())
                .isEqualTo(
                        "overlay.json:1:28: drain.noticeMillis: \"soon\": expected a value of type"
                                + " int");
    }

    @Test
    void aMissingValueIsRefusedWithTheLocationOfItsObject() {
        assertThat(refusal("{\"accounts\": {\"new\": {}}}").message())
                .isEqualTo(
                        "overlay.json:1:22: accounts.new.keySha256: : expected a value, which is"
                                + " missing");
    }

    @Test
    void textThatIsNotJsonIsRefused() {
        assertThat(refusal("{\"site\": ")).isInstanceOf(ConfigFailure.Malformed.class);
    }

    @Test
    void aReferenceToAnUnknownServiceIsRefused() {
        assertThat(
                        refusal("{\"backendServers\": {\"engine-1\": {\"service\": \"asistant\"}}}")
                                .message())
                .contains("did you mean \"assistant\"?");
    }

    private ConfigFailure refusal(String overlay) {
        return mReader.read(
                        List.of(
                                new SettingsText("base.json", Site.SETTINGS),
                                new SettingsText("overlay.json", overlay)))
                .getLeft();
    }
}
