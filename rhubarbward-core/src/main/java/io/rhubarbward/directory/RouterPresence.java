package io.rhubarbward.directory;

/**
 * The entry that a router writes of itself in the store.
 *
 * @param dataCentre the data centre in which it runs; empty if the entry cannot be decoded
 * @param address host and port of its listener for peers; empty if the entry cannot be decoded
 * @param processorCapacity how many processor cores' work its VM can do; 0 if not known
 */
public record RouterPresence(String dataCentre, String address, double processorCapacity) {}
