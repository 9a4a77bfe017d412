package io.rhubarbward.event;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

final class EventCatalogueTest {
    private static final Pattern ROW =
            Pattern.compile("^\\| (\\d{4}) \\| `([a-z-]+)` \\| ([A-Z]+) \\|", Pattern.MULTILINE);

    @Test
    void theCatalogueListsEveryEventAndNoOther() throws IOException {
        String catalogue = Files.readString(Path.of("../docs/EVENTS.md"));
        List<String> listed = ROW.matcher(catalogue).results().map(this::row).toList();
        List<String> events =
                Arrays.stream(LogEvent.values())
                        .map(e -> e.number() + " " + e.label() + " " + e.level())
                        .toList();
        assertThat(listed).containsExactlyElementsIn(events);
    }

    private String row(MatchResult row) {
        return row.group(1) + " " + row.group(2) + " " + row.group(3);
    }
}
