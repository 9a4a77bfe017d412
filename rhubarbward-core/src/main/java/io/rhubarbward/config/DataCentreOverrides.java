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
 * Operators' orders to take a data centre out or back in.
 *
 * <p>An order is a generation like any other change. It is kept apart from the files, as an
 * override, so that files which still say otherwise do not silently cancel it when they are
 * applied.
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
     * Orders the state of a data centre at every site.
     *
     * @param name the data centre
     * @param state in or out
     * @param nonce a value that no other writer chooses
     * @return the generation with the order; the one in force when nothing changes
     */
    public CompletionStage<Either<ConfigFailure, Long>> setState(
            String name, DataCentre.State state, String nonce) {
        return EitherStage.flatMap(
                mObjects.acceptedHead(),
                head ->
                        EitherStage.flatMap(
                                read(head),
                                documents -> setState(name, state, nonce, head, documents)));
    }

    /** Returns the state of every data centre: by site, or under {@code base} without sites. */
    public CompletionStage<Either<ConfigFailure, Map<String, Map<String, String>>>> list() {
        return EitherStage.flatMap(
                mObjects.acceptedHead(),
                head ->
                        EitherStage.flatMap(
                                read(head),
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
                .flatMap(named -> named.properties().stream())
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

    /** Reads only the chunks that name data centres, so that an order costs few calls. */
    private CompletionStage<Either<ConfigFailure, ConfigDocuments>> read(StoredHead head) {
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
        Map<String, Map<String, String>> stated =
                list(without(documents, ConfigDocuments.EMPTY.overrides()));
        Set<String> known = new TreeSet<>();
        stated.values().forEach(states -> known.addAll(states.keySet()));
        if (!known.contains(name)) {
            return EitherStage.completed(
                    Either.left(new ConfigFailure.UnknownDataCentre(name, List.copyOf(known))));
        }
        boolean filesAgree =
                stated.values().stream()
                        .allMatch(states -> state.setting().equals(states.get(name)));
        ObjectNode overrides = override(documents.overrides(), name, state, filesAgree);
        if (overrides.equals(documents.overrides())) {
            return EitherStage.completed(Either.right(head.head().generation()));
        }
        return mAcceptance.accept(Optional.of(head), replace(head, overrides), nonce);
    }

    private static ConfigDocuments without(ConfigDocuments documents, ObjectNode overrides) {
        return new ConfigDocuments(documents.base(), documents.overlays(), overrides);
    }

    private static ObjectNode override(
            ObjectNode before, String name, DataCentre.State state, boolean filesAgree) {
        ObjectNode after = before.deepCopy();
        ObjectNode named = after.withObjectProperty(ChunkSplitter.DATA_CENTRES);
        if (filesAgree) {
            named.remove(name);
        } else {
            named.withObjectProperty(name).put(STATE, state.setting());
        }
        if (named.isEmpty()) {
            after.remove(ChunkSplitter.DATA_CENTRES);
        }
        return after;
    }

    private static ConfigDocuments.Chunked replace(StoredHead head, ObjectNode overrides) {
        ConfigDocuments.Chunked split =
                new ConfigDocuments(ConfigDocuments.EMPTY.base(), Map.of(), overrides).split();
        ConfigContent content = head.head().content();
        return new ConfigDocuments.Chunked(
                new ConfigContent(content.base(), content.overlays(), split.content().overrides()),
                split.texts());
    }
}
