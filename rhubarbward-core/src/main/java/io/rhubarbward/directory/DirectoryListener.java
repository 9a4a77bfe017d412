package io.rhubarbward.directory;

/** Receives the changes of a {@link BackendDirectory}. */
public interface DirectoryListener {
    /** A server is listed that was not known, or a known one has restarted. */
    void onAdded(ListedServer server);

    /** The entry of a known server was read again, changed or not; the incarnation is the same. */
    void onUpdated(ListedServer server);

    /** A server is no longer listed, or its previous incarnation has ended. */
    void onRemoved(ListedServer server);
}
