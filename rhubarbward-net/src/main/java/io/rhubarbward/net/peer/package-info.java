/** Messages between routers: Thrift structs in frames over Netty. */
@NullMarked
package io.rhubarbward.net.peer;

import org.jspecify.annotations.NullMarked;
