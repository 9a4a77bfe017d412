package io.rhubarbward.directory;

/**
 * The entry that a router writes of itself in the store.
 *
 * @param dataCentre the data centre in which it runs; empty if the entry cannot be decoded
 * @param address host and port of its listener for peers; empty if the entry cannot be decoded
 * @param forwardingAddress host and port at which it takes requests that other routers forward;
 *     empty if it takes none
 * @param processorCapacity how many processor cores' work its VM can do; 0 if not known
 */
public record RouterPresence(
        String dataCentre, String address, String forwardingAddress, double processorCapacity) {
    /** Describes a router that takes no forwarded requests. */
    public RouterPresence(String dataCentre, String address, double processorCapacity) {
        this(dataCentre, address, "", processorCapacity);
    }
}
