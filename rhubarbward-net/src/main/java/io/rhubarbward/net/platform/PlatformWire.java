package io.rhubarbward.net.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.rhubarbward.store.ObjectKey;
import io.rhubarbward.store.ObjectStore.Listed;
import io.rhubarbward.store.PlatformFailure;
import io.rhubarbward.store.StoredObject;
import io.rhubarbward.store.Vm;
import io.rhubarbward.store.WatchBatch;
import io.vavr.control.Either;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The wire format of the platform's API: JSON over HTTP. To support another platform API, replace
 * this package.
 *
 * <ul>
 *   <li>{@code GET /objects/KEY}: an {@link ObjectBody}, or 404.
 *   <li>{@code PUT /objects/KEY?expect=VERSION} with the value as body: creates the object if
 *       VERSION is 0, else replaces it; 409 if the object has another version.
 *   <li>{@code DELETE /objects/KEY?expect=VERSION}: 409 if the object has another version.
 *   <li>{@code GET /list?prefix=P}: a {@link ListBody}.
 *   <li>{@code GET /watch?prefix=P&after=REVISION&waitMillis=MS}: a {@link WatchBody}.
 *   <li>{@code GET /vms}: a {@link VmsBody}.
 * </ul>
 */
public final class PlatformWire {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private PlatformWire() {}

    /** Serializes a body record as JSON. */
    public static String render(Object body) {
        try {
            return MAPPER.writeValueAsString(body);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("body cannot be serialized as JSON", e);
        }
    }

    /** Parses a JSON body of the given type. */
    public static <T> Either<PlatformFailure, T> read(String text, Class<T> type) {
        try {
            return Either.right(MAPPER.readValue(text, type));
        } catch (JsonProcessingException e) {
            return Either.left(
                    new PlatformFailure.Unreadable(
                            type.getSimpleName() + ": " + e.getOriginalMessage()));
        }
    }

    /**
     * An object with its value.
     *
     * @param key the path of its key
     * @param value its text
     * @param version the version that a conditional write must expect
     */
    public record ObjectBody(String key, String value, long version) {
        /** Returns the body for a stored object. */
        public static ObjectBody of(StoredObject object) {
            return new ObjectBody(object.key().path(), object.value(), object.version());
        }

        /** Returns the stored object that the body describes. */
        public StoredObject object() {
            return new StoredObject(ObjectKey.of(key), value, version);
        }
    }

    /**
     * An object without its value, as in a list.
     *
     * @param key the path of its key
     * @param version its current version
     */
    public record ListedBody(String key, long version) {}

    /**
     * The objects below a prefix.
     *
     * @param objects their keys and versions
     */
    public record ListBody(List<ListedBody> objects) {
        /** Returns the body for a list of objects. */
        public static ListBody of(List<Listed> listed) {
            return new ListBody(
                    listed.stream()
                            .map(item -> new ListedBody(item.key().path(), item.version()))
                            .toList());
        }

        /** Returns the objects that the body lists. */
        public List<Listed> listed() {
            return objects.stream()
                    .map(item -> new Listed(ObjectKey.of(item.key()), item.version()))
                    .toList();
        }
    }

    /**
     * The changes that a watch returns.
     *
     * @param revision the store's revision up to which changes are included
     * @param changes the objects written, with their newest values
     * @param deleted the keys of the objects deleted
     * @param gap whether changes were missed, so that the client must list and read again
     */
    public record WatchBody(
            long revision, List<ObjectBody> changes, List<String> deleted, boolean gap) {
        /** Returns the body for a batch of changes. */
        public static WatchBody of(WatchBatch batch) {
            return new WatchBody(
                    batch.revision(),
                    batch.changes().stream().map(ObjectBody::of).toList(),
                    batch.deleted().stream().map(ObjectKey::path).toList(),
                    batch.gap());
        }

        /** Returns the batch that the body describes. */
        public WatchBatch batch() {
            return new WatchBatch(
                    revision,
                    changes.stream().map(ObjectBody::object).toList(),
                    deleted.stream().map(ObjectKey::of).toList(),
                    gap);
        }
    }

    /**
     * A VM.
     *
     * @param name its name
     * @param dataCentre the name of its data centre
     * @param role the kind of process that runs on it
     * @param address its host and port
     * @param state whether it is live or leaving
     * @param service the service that a backend serves; null for other roles
     * @param version the version that a backend runs; null for other roles
     */
    public record VmBody(
            String name,
            String dataCentre,
            Vm.Role role,
            String address,
            Vm.State state,
            @Nullable String service,
            @Nullable String version) {
        /** Returns the body for a VM. */
        public static VmBody of(Vm vm) {
            return new VmBody(
                    vm.name(),
                    vm.dataCentre(),
                    vm.role(),
                    vm.address(),
                    vm.state(),
                    vm.service(),
                    vm.version());
        }

        /** Returns the VM that the body describes. */
        public Vm vm() {
            return new Vm(name, dataCentre, role, address, state, service, version);
        }
    }

    /**
     * The VM list.
     *
     * @param vms the VMs
     */
    public record VmsBody(List<VmBody> vms) {}
}
