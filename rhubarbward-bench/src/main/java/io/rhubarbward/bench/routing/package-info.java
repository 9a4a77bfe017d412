/** A replay of returning chats over the real routing policies and registries. */
@NullMarked
package io.rhubarbward.bench.routing;

import org.jspecify.annotations.NullMarked;
