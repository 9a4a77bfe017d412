/** The platform's port: versioned objects, watches and the list of VMs. */
@NullMarked
package io.rhubarbward.platform;

import org.jspecify.annotations.NullMarked;
