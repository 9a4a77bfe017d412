package io.rhubarbward.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.rhubarbward.store.EitherStage;
import io.vavr.control.Either;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletionStage;
import java.util.stream.Stream;

/**
 * Overrides by which operators take a data centre out or back in.
 *
 * <p>A changed override is accepted as a generation, like any other change. Overrides are kept
 * apart from the files and take precedence over them, so that files which state another value do
 * not silently undo the operator's command when they are applied.
 */
public final class DataCentreOverrides {
    private static final String STATE = "state";

    private final ConfigObjects mObjects;
    private final ConfigAcceptance mAcceptance;

    DataCentreOverrides(ConfigObjects objects, ConfigAcceptance acceptance) {
        mObjects = objects;
        mAcceptance = acceptance;
    }

    /**
     * Sets the state of a data centre at all sites.
     *
     * @param name the data centre's name
     * @param state the new state
     * @param nonce a value that no other writer chooses
     * @return the accepted generation; the newest one if nothing changes
     */
    public CompletionStage<Either<ConfigFailure, Long>> setState(
            String name, DataCentre.State state, String nonce) {
        return EitherStage.flatMap(
                mObjects.acceptedHead(),
                head ->
                        EitherStage.flatMap(
                                readDataCentres(head),
                                documents -> setState(name, state, nonce, head, documents)));
    }

    /**
     * Returns the state of every data centre, by site and data centre. If there are no overlays,
     * the only site is {@code base}.
     */
    public CompletionStage<Either<ConfigFailure, Map<String, Map<String, String>>>> list() {
        return EitherStage.flatMap(
                mObjects.acceptedHead(),
                head ->
                        EitherStage.flatMap(
                                readDataCentres(head),
                                documents -> EitherStage.completed(Either.right(list(documents)))));
    }

    private static Map<String, Map<String, String>> list(ConfigDocuments documents) {
        Collection<String> sites =
                documents.overlays().isEmpty() ? List.of("base") : documents.overlays().keySet();
        Map<String, Map<String, String>> states = new TreeMap<>();
        sites.forEach(site -> states.put(site, states(documents, site)));
        return states;
    }

    private static Map<String, String> states(ConfigDocuments documents, String site) {
        Map<String, String> states = new TreeMap<>();
        Stream.of(documents.base(), overlay(documents, site), documents.overrides())
                .map(layer -> layer.path(ChunkSplitter.DATA_CENTRES))
                .flatMap(section -> section.properties().stream())
                .forEach(
                        entry -> {
                            JsonNode state = entry.getValue().path(STATE);
                            if (entry.getValue().isNull()) {
                                states.remove(entry.getKey());
                            } else if (state.isTextual()) {
                                states.put(entry.getKey(), state.textValue());
                            } else {
                                states.putIfAbsent(entry.getKey(), "");
                            }
                        });
        return states;
    }

    private static JsonNode overlay(ConfigDocuments documents, String site) {
        return Optional.<JsonNode>ofNullable(documents.overlays().get(site))
                .orElse(ConfigDocuments.EMPTY.base());
    }

    /** Reads only the chunks of the data centres and the overrides, to need few calls. */
    private CompletionStage<Either<ConfigFailure, ConfigDocuments>> readDataCentres(
            StoredHead head) {
        ConfigContent content = head.head().content();
        Set<String> names = new HashSet<>(content.chunksOf(ChunkSplitter.DATA_CENTRES));
        content.overrides().values().forEach(names::addAll);
        return EitherStage.flatMap(
                mObjects.chunks(names),
                texts -> EitherStage.completed(ConfigDocuments.join(content, texts)));
    }

    private CompletionStage<Either<ConfigFailure, Long>> setState(
            String name,
            DataCentre.State state,
            String nonce,
            StoredHead head,
            ConfigDocuments documents) {
        Map<String, Map<String, String>> statesBySite =
                list(withOverrides(documents, ConfigDocuments.EMPTY.overrides()));
        Set<String> knownNames = new TreeSet<>();
        statesBySite.values().forEach(states -> knownNames.addAll(states.keySet()));
        if (!knownNames.contains(name)) {
            return EitherStage.completed(
                    Either.left(
                            new ConfigFailure.UnknownDataCentre(name, List.copyOf(knownNames))));
        }
        boolean filesAgree =
                statesBySite.values().stream()
                        .allMatch(states -> state.settingValue().equals(states.get(name)));
        ObjectNode overrides = withState(documents.overrides(), name, state, filesAgree);
        if (overrides.equals(documents.overrides())) {
            return EitherStage.completed(Either.right(head.head().generation()));
        }
        return mAcceptance.accept(Optional.of(head), replaceOverrides(head, overrides), nonce);
    }

    private static ConfigDocuments withOverrides(ConfigDocuments documents, ObjectNode overrides) {
        return new ConfigDocuments(documents.base(), documents.overlays(), overrides);
    }

    private static ObjectNode withState(
            ObjectNode before, String name, DataCentre.State state, boolean filesAgree) {
        ObjectNode after = before.deepCopy();
        ObjectNode dataCentres = after.withObjectProperty(ChunkSplitter.DATA_CENTRES);
        if (filesAgree) {
            dataCentres.remove(name);
        } else {
            dataCentres.withObjectProperty(name).put(STATE, state.settingValue());
        }
        if (dataCentres.isEmpty()) {
            after.remove(ChunkSplitter.DATA_CENTRES);
        }
        return after;
    }

    private static ConfigDocuments.Chunked replaceOverrides(StoredHead head, ObjectNode overrides) {
        ConfigDocuments.Chunked split =
                new ConfigDocuments(ConfigDocuments.EMPTY.base(), Map.of(), overrides).split();
        ConfigContent content = head.head().content();
        return new ConfigDocuments.Chunked(
                new ConfigContent(content.base(), content.overlays(), split.content().overrides()),
                split.texts());
    }
}
