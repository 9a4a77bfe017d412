package io.rhubarbward.replay;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

/** One line of a trace: a request, a fault, a change of the fleet or an operator's action. */
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
    /** Returns the time of the event, in milliseconds since the start of the trace. */
    long atMillis();

    /**
     * A caller's request.
     *
     * @param atMillis the time, in milliseconds since the start of the trace
     * @param id the request's id, unique within the trace
     * @param account the name of the client account
     * @param chat the hashed id of the chat; null for plain services
     * @param method the HTTP method
     * @param target the request target
     * @param key the idempotency key; null if the caller gave none
     * @param tokens the number of tokens in the answer
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
     * A backend server's process restarts without notice; it is cold afterwards.
     *
     * @param atMillis the time, in milliseconds since the start of the trace
     * @param server the name of the backend server
     */
    record EngineRestart(long atMillis, String server) implements TraceEvent {}

    /**
     * A backend server is about to leave; the VM list shows it after its lag.
     *
     * @param atMillis the time, in milliseconds since the start of the trace
     * @param server the name of the backend server
     */
    record BackendLeaving(long atMillis, String server) implements TraceEvent {}

    /**
     * A backend server that had left comes back, cold.
     *
     * @param atMillis the time, in milliseconds since the start of the trace
     * @param server the name of the backend server
     */
    record BackendJoined(long atMillis, String server) implements TraceEvent {}

    /**
     * A router drains and stops as planned.
     *
     * @param atMillis the time, in milliseconds since the start of the trace
     * @param router the name of the router's VM
     */
    record RouterStop(long atMillis, String router) implements TraceEvent {}

    /**
     * A new router starts on a new VM.
     *
     * @param atMillis the time, in milliseconds since the start of the trace
     * @param router the name of the router's VM
     * @param dataCentre the data centre of the VM
     */
    record RouterStart(long atMillis, String router, String dataCentre) implements TraceEvent {}

    /**
     * Messages from one router to another are lost from now on; the other direction still works.
     *
     * @param atMillis the time, in milliseconds since the start of the trace
     * @param from the name of the sender's VM
     * @param to the name of the receiver's VM
     */
    record LinkCut(long atMillis, String from, String to) implements TraceEvent {}

    /**
     * All links work again.
     *
     * @param atMillis the time, in milliseconds since the start of the trace
     */
    record LinkHealed(long atMillis) implements TraceEvent {}

    /**
     * The platform refuses every call from now on.
     *
     * @param atMillis the time, in milliseconds since the start of the trace
     */
    record PlatformDown(long atMillis) implements TraceEvent {}

    /**
     * The platform answers again.
     *
     * @param atMillis the time, in milliseconds since the start of the trace
     */
    record PlatformUp(long atMillis) implements TraceEvent {}

    /**
     * The platform's next writes take effect, but their answers are lost.
     *
     * @param atMillis the time, in milliseconds since the start of the trace
     * @param writes the number of writes that lose their answers
     */
    record PlatformLosesAnswers(long atMillis, int writes) implements TraceEvent {}

    /**
     * An operator applies a change of the settings overlay.
     *
     * @param atMillis the time, in milliseconds since the start of the trace
     * @param change the settings that change, merged onto the overlay in force
     */
    record Apply(long atMillis, ObjectNode change) implements TraceEvent {}

    /**
     * An operator starts a rollout.
     *
     * @param atMillis the time, in milliseconds since the start of the trace
     * @param name the name of the rollout
     * @param service the service whose work moves
     * @param fromVersion the version that gets the work before the rollout
     * @param toVersion the version that gets the work after it
     * @param finishMillis the time from the start until the rollout must be finished
     * @param watchMillis how long the new version is watched after the last stage
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
     * A version fails a share of its requests from now on.
     *
     * @param atMillis the time, in milliseconds since the start of the trace
     * @param version the name of the version
     * @param errorPermille failed requests of each thousand
     */
    record VersionTurnsBad(long atMillis, String version, int errorPermille)
            implements TraceEvent {}
}
