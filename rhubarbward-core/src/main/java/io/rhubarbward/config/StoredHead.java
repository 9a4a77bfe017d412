package io.rhubarbward.config;

/**
 * The head and the version of the object that holds it.
 *
 * @param head the head
 * @param version the version that the next conditional update expects
 */
record StoredHead(ConfigHead head, long version) {}
