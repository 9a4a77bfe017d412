package io.rhubarbward.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.rhubarbward.store.EitherStage;
import io.rhubarbward.store.ObjectKey;
import io.rhubarbward.store.ObjectStore;
import io.rhubarbward.store.PlatformFailure;
import io.rhubarbward.store.StoredObject;
import io.vavr.control.Either;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;

/**
 * Mark-and-sweep garbage collector for configuration chunks that neither the head nor the
 * configuration before it refers to.
 *
 * <p>Two collections are needed to delete a chunk, since another operator may be about to accept a
 * configuration that uses it again: the first marks it with its object version, and the next one
 * deletes it if it still has that version. A writer that uses a stored chunk again rewrites it,
 * which changes the version.
 */
final class ChunkGarbageCollector {
    private static final int GENERATIONS_BETWEEN_COLLECTIONS = 64;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final ConfigObjects mObjects;

    ChunkGarbageCollector(ConfigObjects objects) {
        mObjects = objects;
    }

    /**
     * Runs a collection if the head's generation is a multiple of the interval; what fails is left
     * to the next collection.
     */
    CompletionStage<Either<PlatformFailure, Boolean>> collect(ConfigHead head) {
        if (head.generation() % GENERATIONS_BETWEEN_COLLECTIONS != 0) {
            return EitherStage.completed(Either.right(false));
        }
        Set<String> referenced = new HashSet<>(head.content().chunks());
        Optional.ofNullable(head.previous())
                .ifPresent(previous -> referenced.addAll(previous.content().chunks()));
        return store().read(ConfigKeys.GARBAGE_MARKS)
                .thenCompose(
                        marks ->
                                EitherStage.flatMap(
                                        delete(marks.map(ChunkGarbageCollector::parse), referenced),
                                        deleted -> mark(marks.toJavaOptional(), referenced)));
    }

    private CompletionStage<Either<PlatformFailure, Boolean>> delete(
            Either<PlatformFailure, Map<String, Long>> marks, Set<String> referenced) {
        List<Map.Entry<String, Long>> garbage =
                marks.getOrElse(Map.of()).entrySet().stream()
                        .filter(entry -> !referenced.contains(chunkName(entry.getKey())))
                        .toList();
        return EitherStage.forEach(
                garbage,
                entry ->
                        store().delete(ObjectKey.of(entry.getKey()), entry.getValue())
                                // A conflict means that the chunk was rewritten and is in use
                                // again.
                                .thenApply(deleted -> Either.right(deleted.isRight())));
    }

    private CompletionStage<Either<PlatformFailure, Boolean>> mark(
            Optional<StoredObject> marks, Set<String> referenced) {
        return EitherStage.flatMap(
                store().list(ConfigKeys.CHUNK_PREFIX),
                listed -> {
                    Map<String, Long> garbage =
                            listed.stream()
                                    .filter(
                                            item ->
                                                    !referenced.contains(
                                                            chunkName(item.key().path())))
                                    .collect(
                                            Collectors.toMap(
                                                    item -> item.key().path(),
                                                    ObjectStore.Listed::version,
                                                    Math::max,
                                                    TreeMap::new));
                    return write(marks, render(garbage));
                });
    }

    private CompletionStage<Either<PlatformFailure, Boolean>> write(
            Optional<StoredObject> marks, String text) {
        CompletionStage<Either<PlatformFailure, StoredObject>> written =
                marks.map(
                                object ->
                                        store().update(
                                                        ConfigKeys.GARBAGE_MARKS,
                                                        text,
                                                        object.version()))
                        .orElseGet(() -> store().create(ConfigKeys.GARBAGE_MARKS, text));
        return written.thenApply(result -> result.map(object -> true));
    }

    private ObjectStore store() {
        return mObjects.store();
    }

    private static String chunkName(String path) {
        return path.substring(ConfigKeys.CHUNK_PREFIX.length());
    }

    private static Map<String, Long> parse(StoredObject object) {
        try {
            return MAPPER.readValue(object.value(), new TypeReference<>() {});
        } catch (JsonProcessingException e) {
            // Unreadable marks: deletes nothing, and this collection writes new marks.
            return Map.of();
        }
    }

    private static String render(Map<String, Long> garbage) {
        try {
            return MAPPER.writeValueAsString(garbage);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the garbage marks cannot be written as JSON", e);
        }
    }
}
