/** Transport of the messages between routers: Thrift structs in length-prefixed frames over TCP. */
@NullMarked
package io.rhubarbward.net.peer;

import org.jspecify.annotations.NullMarked;
