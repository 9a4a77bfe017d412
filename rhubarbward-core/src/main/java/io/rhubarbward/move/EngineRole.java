package io.rhubarbward.move;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The role that an engine is ordered to take. */
public enum EngineRole {
    /** Keeps its model loaded and serves requests. */
    @JsonProperty("serve")
    SERVE,
    /** May release its accelerators' memory after its last request has ended. */
    @JsonProperty("standby")
    STANDBY
}
