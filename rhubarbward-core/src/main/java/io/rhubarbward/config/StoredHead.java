package io.rhubarbward.config;

/**
 * A configuration head, and the version of the stored object that holds it.
 *
 * @param head the head
 * @param version the object's version, which a compare-and-set of the head expects
 */
record StoredHead(ConfigHead head, long version) {}
