/** Numbered log events and the logs that take them. */
@NullMarked
package io.rhubarbward.event;

import org.jspecify.annotations.NullMarked;
