package io.rhubarbward.cli;

import io.rhubarbward.config.ConfigFailure;
import io.rhubarbward.config.SettingsText;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Reads settings files from disk. */
final class SettingsFiles {
    private SettingsFiles() {}

    static Either<ConfigFailure, SettingsText> read(String file) {
        try {
            return Either.right(new SettingsText(file, Files.readString(Path.of(file))));
        } catch (IOException e) {
            return Either.left(new ConfigFailure.UnreadableFile(file, e.toString()));
        }
    }

    /** Reads overlays given as {@code SITE=FILE}; the result is keyed by site. */
    static Either<ConfigFailure, Map<String, SettingsText>> readOverlays(List<String> overlays) {
        Map<String, SettingsText> texts = new TreeMap<>();
        for (String overlay : overlays) {
            int separator = overlay.indexOf('=');
            if (separator <= 0) {
                return Either.left(
                        new ConfigFailure.UnreadableFile(overlay, "expected --overlay SITE=FILE"));
            }
            Either<ConfigFailure, SettingsText> text = read(overlay.substring(separator + 1));
            if (text.isLeft()) {
                return Either.left(text.getLeft());
            }
            texts.put(overlay.substring(0, separator), text.get());
        }
        return Either.right(texts);
    }
}
