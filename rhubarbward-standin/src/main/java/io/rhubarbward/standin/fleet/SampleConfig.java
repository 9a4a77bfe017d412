package io.rhubarbward.standin.fleet;

/**
 * A sample configuration in the JSON format of the platform's operators: one plain service, one
 * engine service and one tenant.
 *
 * <p>It states the engines' capacity, so that the rehearsal of a build passes admission control and
 * its classes come into the archive: a router that loads them with its first requests starts later.
 */
public final class SampleConfig {
    /** The API key of the only tenant. */
    public static final String API_KEY = "sample-key";

    /** The name of the plain service. */
    public static final String PLAIN_SERVICE = "orders";

    /** The name of the engine service. */
    public static final String ENGINE_SERVICE = "chat";

    private static final String JSON_TEMPLATE =
            """
            {"version":1,
             "routes":[
              {"name":"plain","host":"127.0.0.1","pathPrefix":"/plain/","kind":"non_idempotent",
               "timeoutMs":4000,"targetLatencyMs":300,"service":"orders","maxAttempts":1},
              {"name":"repeat","host":"127.0.0.1","pathPrefix":"/repeat/","kind":"idempotent",
               "timeoutMs":4000,"targetLatencyMs":300,"service":"orders","maxAttempts":3},
              {"name":"stream","host":"127.0.0.1","pathPrefix":"/stream/","kind":"streaming",
               "timeoutMs":4000,"targetLatencyMs":300,"service":"chat","maxAttempts":1}],
             "services":[
              {"name":"orders","maxConnections":100,"coldStartS":0.0,"coldPerS":0.0},
              {"name":"chat","maxConnections":100,"coldStartS":3.0,"coldPerS":20.0,
               "engine":{"slots":8,"kvCapacityTokens":80000}}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
              "idleTimeoutMs":%d},
             "tenants":[{"name":"acme","apiKeys":["%s"]}]}
            """;

    private static final int IDLE_TIMEOUT_MILLIS = 15_000;

    private SampleConfig() {}

    /** Writes the configuration into the store, and no server objects. */
    public static void writeTo(StoreStandin store) {
        writeTo(store, IDLE_TIMEOUT_MILLIS);
    }

    /** The same with another idle timeout of callers' connections. */
    public static void writeTo(StoreStandin store, int idleTimeoutMillis) {
        store.put("config", "main", JSON_TEMPLATE.formatted(idleTimeoutMillis, API_KEY));
    }

    /** Writes the configuration and one server object per replica into the store. */
    public static void writeTo(
            StoreStandin store, ReplicaStandin plainReplica, ReplicaStandin engineReplica) {
        writeTo(store);
        store.put("servers", plainReplica.id(), plainReplica.serverSpec(PLAIN_SERVICE, "a"));
        store.put("servers", engineReplica.id(), engineReplica.serverSpec(ENGINE_SERVICE, "a"));
    }
}
