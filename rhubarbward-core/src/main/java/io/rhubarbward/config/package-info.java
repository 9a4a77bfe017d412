/** Configuration: validates settings, stores them as generations, distributes them to routers. */
@NullMarked
package io.rhubarbward.config;

import org.jspecify.annotations.NullMarked;
