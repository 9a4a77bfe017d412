package io.rhubarbward.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.rhubarbward.platform.EitherStage;
import io.rhubarbward.platform.ObjectStore;
import io.rhubarbward.platform.PlatformFailure;
import io.rhubarbward.platform.StoredObject;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.stream.Stream;

/**
 * Accepts configurations into the platform's store and reads them back.
 *
 * <p>Texts are written as chunks named by their SHA-256. One conditional update of the head then
 * accepts them, so that a configuration is either accepted whole or not at all.
 */
public final class ConfigStore {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int CHUNK_ATTEMPTS = 3;

    private final ObjectStore mStore;
    private final SettingsReader mReader = new SettingsReader();

    /** Works on the given store. */
    public ConfigStore(ObjectStore store) {
        mStore = store;
    }

    /**
     * Checks the base with every overlay and accepts them as the next generation.
     *
     * @param base the base file's text
     * @param overlays the overlays by site
     * @param nonce a value that no other writer chooses
     * @return the accepted generation
     */
    public CompletionStage<Either<ConfigFailure, Long>> apply(
            SettingsText base, Map<String, SettingsText> overlays, String nonce) {
        Stream<Either<ConfigFailure, Settings>> checks =
                overlays.values().stream().map(overlay -> mReader.read(List.of(base, overlay)));
        return checks.filter(Either::isLeft)
                .findFirst()
                .map(failed -> EitherStage.completed(failed.map(settings -> 0L)))
                .orElseGet(() -> write(base, overlays, nonce));
    }

    /** Reads the newest accepted configuration of the site. */
    public CompletionStage<Either<ConfigFailure, Configuration>> read(String site) {
        return EitherStage.flatMap(readHead(), stored -> readTexts(stored.head(), site));
    }

    private CompletionStage<Either<ConfigFailure, Long>> write(
            SettingsText base, Map<String, SettingsText> overlays, String nonce) {
        List<String> texts =
                Stream.concat(Stream.of(base), overlays.values().stream())
                        .map(SettingsText::text)
                        .toList();
        return EitherStage.flatMap(
                EitherStage.forEach(texts, this::writeChunk),
                done -> accept(base, overlays, nonce));
    }

    private CompletionStage<Either<ConfigFailure, Boolean>> writeChunk(String text) {
        return writeChunk(text, CHUNK_ATTEMPTS);
    }

    /** Writes until an answer comes: a chunk is named by its content, so that writing is safe. */
    private CompletionStage<Either<ConfigFailure, Boolean>> writeChunk(String text, int attempts) {
        return mStore.create(ConfigKeys.chunk(Sha256.of(text)), text)
                .thenCompose(
                        written -> {
                            if (written.isRight()
                                    || written.getLeft() instanceof PlatformFailure.Conflict) {
                                return EitherStage.completed(Either.right(true));
                            }
                            boolean again =
                                    written.getLeft() instanceof PlatformFailure.AnswerLost
                                            && attempts > 1;
                            return again
                                    ? writeChunk(text, attempts - 1)
                                    : EitherStage.completed(
                                            Either.left(
                                                    new ConfigFailure.Platform(written.getLeft())));
                        });
    }

    private CompletionStage<Either<ConfigFailure, Long>> accept(
            SettingsText base, Map<String, SettingsText> overlays, String nonce) {
        List<String> baseChunks = List.of(Sha256.of(base.text()));
        Map<String, List<String>> overlayChunks = new TreeMap<>();
        overlays.forEach((site, text) -> overlayChunks.put(site, List.of(Sha256.of(text.text()))));
        return readHead()
                .thenCompose(
                        current -> {
                            if (current.isRight()) {
                                StoredHead stored = current.get();
                                long generation = stored.head().generation() + 1;
                                ConfigHead next =
                                        new ConfigHead(
                                                generation, nonce, baseChunks, overlayChunks);
                                return settle(
                                        mStore.update(
                                                ConfigKeys.HEAD, render(next), stored.version()),
                                        next);
                            }
                            if (notFound(current.getLeft())) {
                                ConfigHead first =
                                        new ConfigHead(1, nonce, baseChunks, overlayChunks);
                                return settle(mStore.create(ConfigKeys.HEAD, render(first)), first);
                            }
                            return EitherStage.completed(Either.left(current.getLeft()));
                        });
    }

    private CompletionStage<Either<ConfigFailure, Long>> settle(
            CompletionStage<Either<PlatformFailure, StoredObject>> write, ConfigHead written) {
        return write.thenCompose(
                result -> {
                    if (result.isRight()) {
                        return EitherStage.completed(Either.right(written.generation()));
                    }
                    PlatformFailure failure = result.getLeft();
                    boolean mayHaveTakenEffect =
                            failure instanceof PlatformFailure.AnswerLost
                                    || failure instanceof PlatformFailure.Conflict;
                    return mayHaveTakenEffect
                            ? readBack(written)
                            : EitherStage.completed(
                                    Either.left(new ConfigFailure.Platform(failure)));
                });
    }

    private CompletionStage<Either<ConfigFailure, Long>> readBack(ConfigHead written) {
        return EitherStage.flatMap(
                readHead(),
                stored -> {
                    ConfigHead head = stored.head();
                    Either<ConfigFailure, Long> outcome =
                            head.nonce().equals(written.nonce())
                                    ? Either.right(head.generation())
                                    : Either.left(
                                            new ConfigFailure.ChangedMeanwhile(
                                                    written.generation() - 1, head.generation()));
                    return EitherStage.completed(outcome);
                });
    }

    private CompletionStage<Either<ConfigFailure, StoredHead>> readHead() {
        return mStore.read(ConfigKeys.HEAD)
                .thenApply(
                        read ->
                                read.<ConfigFailure>mapLeft(ConfigFailure.Platform::new)
                                        .flatMap(ConfigStore::parseHead));
    }

    private CompletionStage<Either<ConfigFailure, Configuration>> readTexts(
            ConfigHead head, String site) {
        List<String> overlay = head.overlays().getOrDefault(site, List.of());
        List<SettingsText> texts = new ArrayList<>();
        List<String> chunks = Stream.concat(head.base().stream(), overlay.stream()).toList();
        return EitherStage.flatMap(
                EitherStage.forEach(chunks, chunk -> readChunk(chunk, texts)),
                done ->
                        EitherStage.completed(
                                mReader.read(texts)
                                        .map(
                                                settings ->
                                                        new Configuration(
                                                                head.generation(), settings))));
    }

    private CompletionStage<Either<ConfigFailure, Boolean>> readChunk(
            String sha256, List<SettingsText> texts) {
        return mStore.read(ConfigKeys.chunk(sha256))
                .thenApply(
                        read ->
                                read.<ConfigFailure>mapLeft(ConfigFailure.Platform::new)
                                        .map(
                                                object ->
                                                        texts.add(
                                                                new SettingsText(
                                                                        object.key().path(),
                                                                        object.value()))));
    }

    private static boolean notFound(ConfigFailure failure) {
        return failure instanceof ConfigFailure.Platform platform
                && platform.cause() instanceof PlatformFailure.NotFound;
    }

    private static Either<ConfigFailure, StoredHead> parseHead(StoredObject object) {
        try {
            return Either.right(
                    new StoredHead(
                            MAPPER.readValue(object.value(), ConfigHead.class), object.version()));
        } catch (JsonProcessingException e) {
            return Either.left(new ConfigFailure.Corrupt("head: " + e.getOriginalMessage()));
        }
    }

    private static String render(ConfigHead head) {
        try {
            return MAPPER.writeValueAsString(head);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a head is plain data", e);
        }
    }

    /** The head and the version of the object that holds it. */
    private record StoredHead(ConfigHead head, long version) {}
}
