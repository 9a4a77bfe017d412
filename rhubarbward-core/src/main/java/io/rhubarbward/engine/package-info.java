/** Backend servers: load reports, health, slow start after a cold start, and capacity. */
@NullMarked
package io.rhubarbward.engine;

import org.jspecify.annotations.NullMarked;
