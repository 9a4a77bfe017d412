/** Numbered log events and where they go. */
@NullMarked
package io.rhubarbward.event;

import org.jspecify.annotations.NullMarked;
