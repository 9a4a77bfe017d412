/** The exchange: one caller's request, its backend calls and its whole answer. */
@NullMarked
package io.rhubarbward.request;

import org.jspecify.annotations.NullMarked;
