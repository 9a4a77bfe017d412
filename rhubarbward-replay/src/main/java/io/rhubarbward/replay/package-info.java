/** Generates traces and replays them against the router code on virtual time, with checks. */
@NullMarked
package io.rhubarbward.replay;

import org.jspecify.annotations.NullMarked;
