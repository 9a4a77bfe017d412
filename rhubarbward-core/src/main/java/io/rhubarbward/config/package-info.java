/**
 * Configuration: reads and validates settings files, accepts them as numbered generations into the
 * platform's store, and distributes the newest generation to all routers.
 */
@NullMarked
package io.rhubarbward.config;

import org.jspecify.annotations.NullMarked;
