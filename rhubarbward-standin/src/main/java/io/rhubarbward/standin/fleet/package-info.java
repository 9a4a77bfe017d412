/**
 * Simulated peers of a router that runs on the users' platform: the metadata store, a replica of a
 * service and a caller, which use the platform's own HTTP paths, JSON fields and headers.
 */
@NullMarked
package io.rhubarbward.standin.fleet;

import org.jspecify.annotations.NullMarked;
