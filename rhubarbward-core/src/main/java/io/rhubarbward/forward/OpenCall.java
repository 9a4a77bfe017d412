package io.rhubarbward.forward;

import io.rhubarbward.placement.SendResult;
import io.rhubarbward.request.ConnectionUse;

/** A call in progress, to a backend server or to another router. */
interface OpenCall {
    /** Tells whether the caller's connection can take more data. */
    void onCallerWritable(boolean writable);

    /** Cancels the call by closing its connection. */
    void cancel(SendResult result);

    /** Returns whether the other side may have got any part of the request. */
    boolean mayHaveBeenSent();

    /** Returns the name of the server or router that the call goes to. */
    String receiver();

    /** Returns the connection of this call, and how much it was used before. */
    ConnectionUse connection();
}
