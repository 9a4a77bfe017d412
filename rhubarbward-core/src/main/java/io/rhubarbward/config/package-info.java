/** Configuration: settings files, their checks, and the generation in force. */
@NullMarked
package io.rhubarbward.config;

import org.jspecify.annotations.NullMarked;
