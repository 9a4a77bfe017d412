package io.rhubarbward.move;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What an engine is ordered to be. */
public enum EngineRole {
    /** Keeps its model loaded and serves. */
    @JsonProperty("serve")
    SERVE,
    /** May give its accelerators' memory back once its last request has ended. */
    @JsonProperty("standby")
    STANDBY
}
