package io.rhubarbward.config;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Checks settings against each other: names that refer to other settings must exist, and accounts
 * must not share a key.
 */
final class SettingsReferences {
    private final SettingsDocument mDocument;

    SettingsReferences(SettingsDocument document) {
        mDocument = document;
    }

    Either<ConfigFailure, Settings> check(Settings settings) {
        Stream<ConfigFailure> failures =
                Stream.concat(
                        settings.backendServers().values().stream()
                                .flatMap(server -> unknownNames(server, settings)),
                        duplicateKeys(settings));
        return failures.findFirst()
                .<Either<ConfigFailure, Settings>>map(Either::left)
                .orElseGet(() -> Either.right(settings));
    }

    private Stream<ConfigFailure> unknownNames(BackendServer server, Settings settings) {
        List<String> path = List.of("backendServers", server.name());
        return Stream.concat(
                checkName(path, "service", server.service(), settings.services().keySet()),
                checkName(
                        path, "dataCentre", server.dataCentre(), settings.dataCentres().keySet()));
    }

    private Stream<ConfigFailure> checkName(
            List<String> path, String setting, String name, Collection<String> names) {
        if (names.contains(name)) {
            return Stream.empty();
        }
        List<String> settingPath = Stream.concat(path.stream(), Stream.of(setting)).toList();
        return Stream.of(mDocument.invalid(settingPath, NameSuggestion.expected(name, names)));
    }

    private Stream<ConfigFailure> duplicateKeys(Settings settings) {
        Map<String, List<String>> accountsByKey =
                settings.accounts().values().stream()
                        .collect(
                                Collectors.groupingBy(
                                        ClientAccount::keySha256,
                                        Collectors.mapping(
                                                ClientAccount::name, Collectors.toList())));
        return accountsByKey.values().stream()
                .filter(names -> names.size() > 1)
                .map(
                        names ->
                                mDocument.invalid(
                                        List.of("accounts", names.get(0), "keySha256"),
                                        "a key of its own; " + names.get(1) + " has the same"));
    }
}
