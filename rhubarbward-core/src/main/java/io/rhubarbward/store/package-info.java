/** Access to the platform: its store of versioned objects, watches on it, and its list of VMs. */
@NullMarked
package io.rhubarbward.store;

import org.jspecify.annotations.NullMarked;
