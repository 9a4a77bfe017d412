/** The entries listed in the store: backend servers, evacuated data centres and routers. */
@NullMarked
package io.rhubarbward.directory;

import org.jspecify.annotations.NullMarked;
