package io.rhubarbward.config;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.rhubarbward.store.EitherStage;
import io.rhubarbward.store.ObjectStore;
import io.vavr.control.Either;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;

/**
 * Accepts configurations into the platform's store and reads them from it.
 *
 * <p>Settings are written as chunks named by their SHA-256. A compare-and-set of the head then
 * accepts them all at once, so that a configuration is either accepted whole or not at all.
 */
public final class ConfigStore {
    private final ConfigObjects mObjects;
    private final ConfigAcceptance mAcceptance;
    private final ConfigDifference mDifference;
    private final SettingsReader mReader = new SettingsReader();

    /** Creates a store for configurations within the given object store. */
    public ConfigStore(ObjectStore store) {
        mObjects = new ConfigObjects(store);
        mAcceptance = new ConfigAcceptance(mObjects);
        mDifference = new ConfigDifference(mObjects);
    }

    /** Accepts the texts, whichever generation is the newest now. */
    public CompletionStage<Either<ConfigFailure, Long>> apply(
            SettingsText base, Map<String, SettingsText> overlays, String nonce) {
        return apply(base, overlays, nonce, OptionalLong.empty());
    }

    /**
     * Checks the base with every overlay and accepts them as the next generation.
     *
     * @param base the base file's text
     * @param overlays the overlays by site
     * @param nonce a value that no other writer chooses
     * @param expectedGeneration the generation that must be the newest, since the texts were made
     *     on it; empty for any generation
     * @return the accepted generation
     */
    public CompletionStage<Either<ConfigFailure, Long>> apply(
            SettingsText base,
            Map<String, SettingsText> overlays,
            String nonce,
            OptionalLong expectedGeneration) {
        return EitherStage.flatMap(
                EitherStage.completed(parse(base, overlays)),
                files ->
                        withExpectedHead(
                                expectedGeneration,
                                head ->
                                        EitherStage.flatMap(
                                                overrides(head),
                                                overrides ->
                                                        check(base, overlays, overrides)
                                                                .fold(
                                                                        ConfigStore::failed,
                                                                        checked ->
                                                                                accept(
                                                                                        head, files,
                                                                                        overrides,
                                                                                        nonce)))));
    }

    private CompletionStage<Either<ConfigFailure, Long>> accept(
            Optional<StoredHead> head, ConfigDocuments files, ObjectNode overrides, String nonce) {
        ConfigDocuments next = new ConfigDocuments(files.base(), files.overlays(), overrides);
        return mAcceptance.accept(head, next.split(), nonce);
    }

    /**
     * Accepts the configuration before the newest one as the next generation.
     *
     * @param nonce a value that no other writer chooses
     * @param expectedGeneration the generation to be undone, which must be the newest; empty for
     *     any generation
     */
    public CompletionStage<Either<ConfigFailure, Long>> undo(
            String nonce, OptionalLong expectedGeneration) {
        return withExpectedHead(
                expectedGeneration,
                head -> {
                    Optional<ConfigHead.Previous> previous =
                            head.flatMap(stored -> Optional.ofNullable(stored.head().previous()));
                    return previous.map(
                                    before ->
                                            mAcceptance.accept(
                                                    head,
                                                    new ConfigDocuments.Chunked(
                                                            before.content(), Map.of()),
                                                    nonce))
                            .orElseGet(() -> failed(new ConfigFailure.NothingToUndo()));
                });
    }

    /** Reads the newest accepted configuration of the site. */
    public CompletionStage<Either<ConfigFailure, Configuration>> read(String site) {
        return EitherStage.flatMap(
                mObjects.acceptedHead(),
                stored -> {
                    SiteHead head = SiteHead.of(stored.head(), site);
                    return EitherStage.flatMap(
                            mObjects.chunks(head.chunks()),
                            texts -> EitherStage.completed(head.assemble(texts)));
                });
    }

    /** Returns the newest accepted generation. */
    public CompletionStage<Either<ConfigFailure, Long>> generation() {
        return mObjects.acceptedHead()
                .thenApply(read -> read.map(stored -> stored.head().generation()));
    }

    /** Reads which generation each router has in force, by data centre. */
    public CompletionStage<Either<ConfigFailure, Collection<DataCentreStatus>>> statuses() {
        return mObjects.statuses().thenApply(read -> read.map(Map::values));
    }

    /** Returns the overrides by which operators take data centres out and back in. */
    public DataCentreOverrides dataCentres() {
        return new DataCentreOverrides(mObjects, mAcceptance);
    }

    private CompletionStage<Either<ConfigFailure, Long>> withExpectedHead(
            OptionalLong expectedGeneration, HeadChange change) {
        return EitherStage.flatMap(
                mObjects.head(),
                head -> {
                    long newest = head.map(stored -> stored.head().generation()).orElse(0L);
                    return expectedGeneration.isPresent()
                                    && expectedGeneration.getAsLong() != newest
                            ? mDifference.changedSince(expectedGeneration.getAsLong(), head)
                            : change.applyTo(head);
                });
    }

    private CompletionStage<Either<ConfigFailure, ObjectNode>> overrides(
            Optional<StoredHead> head) {
        List<String> names =
                head
                        .map(stored -> stored.head().content().overrides())
                        .orElse(Map.of())
                        .values()
                        .stream()
                        .flatMap(List::stream)
                        .toList();
        return EitherStage.flatMap(
                mObjects.chunks(names),
                texts -> EitherStage.completed(ChunkSplitter.join(texts.values())));
    }

    private static Either<ConfigFailure, ConfigDocuments> parse(
            SettingsText base, Map<String, SettingsText> overlays) {
        Map<String, ObjectNode> trees = new TreeMap<>();
        for (Map.Entry<String, SettingsText> overlay : overlays.entrySet()) {
            Either<ConfigFailure, SettingsDocument> tree = parse(overlay.getValue());
            if (tree.isLeft()) {
                return Either.left(tree.getLeft());
            }
            trees.put(overlay.getKey(), tree.get().root());
        }
        return parse(base)
                .map(
                        document ->
                                new ConfigDocuments(
                                        document.root(), trees, ConfigDocuments.EMPTY.overrides()));
    }

    private static Either<ConfigFailure, SettingsDocument> parse(SettingsText text) {
        return SettingsDocument.parse(text.name(), text.text());
    }

    /**
     * Checks the texts instead of the parsed trees, so that a failure has file, line and column.
     */
    private Either<ConfigFailure, Boolean> check(
            SettingsText base, Map<String, SettingsText> overlays, ObjectNode overrides) {
        SettingsText overridesText = new SettingsText("overrides", ChunkSplitter.render(overrides));
        Collection<SettingsText> overlayTexts =
                overlays.isEmpty()
                        ? List.of(new SettingsText("no overlay", "{}"))
                        : overlays.values();
        return overlayTexts.stream()
                .map(overlay -> mReader.read(List.of(base, overlay, overridesText)))
                .filter(Either::isLeft)
                .findFirst()
                .<Either<ConfigFailure, Boolean>>map(invalid -> Either.left(invalid.getLeft()))
                .orElseGet(() -> Either.right(true));
    }

    private static <T> CompletionStage<Either<ConfigFailure, T>> failed(ConfigFailure failure) {
        return EitherStage.completed(Either.left(failure));
    }

    /** A change that is made on a head, which is empty if no configuration was accepted yet. */
    @FunctionalInterface
    private interface HeadChange {
        CompletionStage<Either<ConfigFailure, Long>> applyTo(Optional<StoredHead> head);
    }
}
