package io.rhubarbward.replay;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

/** One line of a trace: something that happened at a time. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = TraceEvent.Request.class, name = "request"),
    @JsonSubTypes.Type(value = TraceEvent.EngineRestart.class, name = "engine-restart"),
    @JsonSubTypes.Type(value = TraceEvent.BackendLeaving.class, name = "backend-leaving"),
    @JsonSubTypes.Type(value = TraceEvent.BackendJoined.class, name = "backend-joined"),
    @JsonSubTypes.Type(value = TraceEvent.RouterStop.class, name = "router-stop"),
    @JsonSubTypes.Type(value = TraceEvent.RouterStart.class, name = "router-start"),
    @JsonSubTypes.Type(value = TraceEvent.LinkCut.class, name = "link-cut"),
    @JsonSubTypes.Type(value = TraceEvent.LinkHealed.class, name = "link-healed"),
    @JsonSubTypes.Type(value = TraceEvent.PlatformDown.class, name = "platform-down"),
    @JsonSubTypes.Type(value = TraceEvent.PlatformUp.class, name = "platform-up"),
    @JsonSubTypes.Type(value = TraceEvent.PlatformLosesAnswers.class, name = "platform-loses"),
    @JsonSubTypes.Type(value = TraceEvent.Apply.class, name = "apply"),
    @JsonSubTypes.Type(value = TraceEvent.RolloutStart.class, name = "rollout-start"),
    @JsonSubTypes.Type(value = TraceEvent.VersionTurnsBad.class, name = "version-turns-bad")
})
public sealed interface TraceEvent {
    /** Returns when it happened, in milliseconds since the trace began. */
    long atMillis();

    /**
     * A caller's request.
     *
     * @param atMillis when
     * @param id names the request within the trace
     * @param account the client account
     * @param chat the chat, hashed; null for plain services
     * @param method the HTTP method
     * @param target the path
     * @param key the idempotency key, if the caller gave one
     * @param tokens tokens of the answer
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record Request(
            long atMillis,
            String id,
            String account,
            @Nullable String chat,
            String method,
            String target,
            @Nullable String key,
            int tokens)
            implements TraceEvent {}

    /**
     * A backend server's process ended and began again, cold and without notice.
     *
     * @param atMillis when
     * @param server its name
     */
    record EngineRestart(long atMillis, String server) implements TraceEvent {}

    /**
     * A backend server is about to leave; the VM list says so after its lag.
     *
     * @param atMillis when
     * @param server its name
     */
    record BackendLeaving(long atMillis, String server) implements TraceEvent {}

    /**
     * A backend server that had left is back, cold.
     *
     * @param atMillis when
     * @param server its name
     */
    record BackendJoined(long atMillis, String server) implements TraceEvent {}

    /**
     * A router's planned stop.
     *
     * @param atMillis when
     * @param router its VM
     */
    record RouterStop(long atMillis, String router) implements TraceEvent {}

    /**
     * A new router on a new VM.
     *
     * @param atMillis when
     * @param router its VM
     * @param dataCentre where it runs
     */
    record RouterStart(long atMillis, String router, String dataCentre) implements TraceEvent {}

    /**
     * Messages from one router to another are lost from now on.
     *
     * @param atMillis when
     * @param from the sender's VM
     * @param to the receiver's VM
     */
    record LinkCut(long atMillis, String from, String to) implements TraceEvent {}

    /**
     * All links work again.
     *
     * @param atMillis when
     */
    record LinkHealed(long atMillis) implements TraceEvent {}

    /**
     * The platform refuses every call from now on.
     *
     * @param atMillis when
     */
    record PlatformDown(long atMillis) implements TraceEvent {}

    /**
     * The platform answers again.
     *
     * @param atMillis when
     */
    record PlatformUp(long atMillis) implements TraceEvent {}

    /**
     * The platform's next writes take effect and lose their answers.
     *
     * @param atMillis when
     * @param writes how many
     */
    record PlatformLosesAnswers(long atMillis, int writes) implements TraceEvent {}

    /**
     * Operators accept a change of the overlay, merged onto the one before.
     *
     * @param atMillis when
     * @param change the settings that change
     */
    record Apply(long atMillis, ObjectNode change) implements TraceEvent {}

    /**
     * Operators start a planned rollout.
     *
     * @param atMillis when
     * @param name its name
     * @param service whose servers move
     * @param fromVersion the version that has the work
     * @param toVersion the version that is to get it
     * @param finishMillis from now until it must be finished
     * @param watchMillis how long the new version is judged after that
     */
    record RolloutStart(
            long atMillis,
            String name,
            String service,
            String fromVersion,
            String toVersion,
            long finishMillis,
            long watchMillis)
            implements TraceEvent {}

    /**
     * A version fails a part of its requests from now on.
     *
     * @param atMillis when
     * @param version which
     * @param errorPermille how many of a thousand
     */
    record VersionTurnsBad(long atMillis, String version, int errorPermille)
            implements TraceEvent {}
}
