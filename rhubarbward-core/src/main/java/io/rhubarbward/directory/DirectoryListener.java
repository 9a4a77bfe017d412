package io.rhubarbward.directory;

/** Receives the changes of a {@link BackendDirectory}. */
public interface DirectoryListener {
    /** A server is listed that was not known, or a known one has restarted. */
    void onAdded(ListedServer server);

    /** The entry of a known server was written again by the same incarnation. */
    void onUpdated(ListedServer server);

    /** A server is no longer listed, or its previous incarnation has ended. */
    void onRemoved(ListedServer server);
}
