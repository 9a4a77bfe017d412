/** Load balancing: chooses a backend server for each request and tracks every server's load. */
@NullMarked
package io.rhubarbward.placement;

import org.jspecify.annotations.NullMarked;
