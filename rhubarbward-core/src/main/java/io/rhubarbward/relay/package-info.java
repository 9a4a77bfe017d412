/** Relays: in each data centre one router watches the store and adds up loads for the others. */
@NullMarked
package io.rhubarbward.relay;

import org.jspecify.annotations.NullMarked;
