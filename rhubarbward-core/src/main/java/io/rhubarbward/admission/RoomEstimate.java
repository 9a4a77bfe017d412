package io.rhubarbward.admission;

import io.rhubarbward.catalog.ServiceProfile;

/** Estimates how much room the servers of a service have, over the whole fleet. */
@FunctionalInterface
public interface RoomEstimate {
    /** Returns the room of the service as far as this router knows. */
    ServiceRoom room(ServiceProfile service);
}
