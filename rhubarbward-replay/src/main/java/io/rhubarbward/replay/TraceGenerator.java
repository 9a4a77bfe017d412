package io.rhubarbward.replay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.rhubarbward.config.Sha256;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Generates a site's trace from a seed.
 *
 * <p>A trace has busy periods of a minute and a half, with growing pauses between them. It contains
 * chats that return within and between the periods, an account that sends a surge of requests,
 * engines that restart, leave and come back, a good and a bad rollout, a data centre that is taken
 * out and back in, orders that are sent twice, a link that is cut, a platform that is down or loses
 * answers, and a router that is replaced.
 */
public final class TraceGenerator {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MINUTE_MILLIS = 60_000;
    private static final long BUSY_PERIOD_MILLIS = 90_000;
    private static final long[] BUSY_PERIOD_STARTS_MILLIS = {
        MINUTE_MILLIS, 5 * MINUTE_MILLIS, 15 * MINUTE_MILLIS, 35 * MINUTE_MILLIS, 75 * MINUTE_MILLIS
    };
    private static final int TURNS_PER_CHAT = 5;
    private static final int SURGE_REQUESTS = 1500;
    private static final long SURGE_DURATION_MILLIS = 6000;
    private static final long MEAN_BACKGROUND_INTERVAL_MILLIS = 500;
    private static final int BACKGROUND_CHATS = 400;
    private static final int VM_LIST_LAG_MILLIS = 2000;
    private static final int COLD_CONCURRENCY = 2;
    private static final int ROUTER_COUNT = 9;

    private final ReplaySite mSite;
    private final long mSeed;
    private final RandomGenerator mRandom;
    private final List<TraceEvent> mEvents = new ArrayList<>();
    private int mNextId;

    private TraceGenerator(ReplaySite site, long seed) {
        mSite = site;
        mSeed = seed;
        mRandom = new SplittableRandom(seed);
    }

    /** Returns the site's trace for the seed; the same seed gives the same trace. */
    public static Trace generate(ReplaySite site, long seed) {
        return new TraceGenerator(site, seed).generate();
    }

    private Trace generate() {
        for (int chat = 0; chat < mSite.chatCount(); chat++) {
            addChat("chat-" + chat);
        }
        for (int order = 0; order < mSite.orderCount(); order++) {
            addOrder("order-" + order);
        }
        addBackgroundChats();
        addSurge(BUSY_PERIOD_STARTS_MILLIS[2] + 20_000);
        addFaultsAndOperations();
        mEvents.sort(Comparator.comparingLong(TraceEvent::atMillis));
        return new Trace(header(), mEvents);
    }

    private void addChat(String chat) {
        String account = mSite.account(mRandom.nextInt(mSite.accountCount()));
        for (int turn = 0; turn < TURNS_PER_CHAT; turn++) {
            int tokens = mRandom.nextInt(20, 100);
            addRequest(
                    randomBusyMillis(),
                    account,
                    chat,
                    "POST",
                    "/v1/chat/completions",
                    null,
                    tokens);
        }
    }

    private void addOrder(String key) {
        String account = mSite.account(mRandom.nextInt(mSite.accountCount()));
        long atMillis = randomBusyMillis();
        addRequest(atMillis, account, null, "POST", "/orders/" + key, key, 2);
        if (mRandom.nextInt(3) == 0) {
            long repeatMillis = atMillis + mRandom.nextLong(10_000);
            addRequest(repeatMillis, account, null, "POST", "/orders/" + key, key, 2);
        }
    }

    private long randomBusyMillis() {
        long start = BUSY_PERIOD_STARTS_MILLIS[mRandom.nextInt(BUSY_PERIOD_STARTS_MILLIS.length)];
        return start + mRandom.nextLong(BUSY_PERIOD_MILLIS);
    }

    /** Adds chats at a low rate from the first busy period to the last, pauses included. */
    private void addBackgroundChats() {
        long end =
                BUSY_PERIOD_STARTS_MILLIS[BUSY_PERIOD_STARTS_MILLIS.length - 1]
                        + BUSY_PERIOD_MILLIS;
        for (long atMillis = MINUTE_MILLIS;
                atMillis < end;
                atMillis += mRandom.nextLong(2 * MEAN_BACKGROUND_INTERVAL_MILLIS)) {
            String chat = "steady-" + mRandom.nextInt(BACKGROUND_CHATS);
            String account = mSite.account(mRandom.nextInt(mSite.accountCount()));
            int tokens = mRandom.nextInt(20, 100);
            addRequest(atMillis, account, chat, "POST", "/v1/chat/completions", null, tokens);
        }
    }

    /** Adds requests of one account at many times its rate limit. */
    private void addSurge(long atMillis) {
        for (int request = 0; request < SURGE_REQUESTS; request++) {
            String chat = "surge-" + mRandom.nextInt(100);
            long requestMillis = atMillis + mRandom.nextLong(SURGE_DURATION_MILLIS);
            addRequest(
                    requestMillis,
                    mSite.surgingAccount(),
                    chat,
                    "POST",
                    "/v1/chat/completions",
                    null,
                    40);
        }
    }

    private void addFaultsAndOperations() {
        long[] start = BUSY_PERIOD_STARTS_MILLIS;
        mSite.servers("2").forEach(s -> mEvents.add(new TraceEvent.BackendLeaving(0, s)));
        mSite.servers("3").forEach(s -> mEvents.add(new TraceEvent.BackendLeaving(0, s)));
        mEvents.add(rollout(start[1] + 10_000, "bad", "2"));
        addJoins(start[1] + 15_000, "2");
        mEvents.add(new TraceEvent.VersionTurnsBad(start[1] + 60_000, "2", 400));
        mEvents.add(rollout(start[3], "good", "3"));
        addJoins(start[3] + 5_000, "3");
        mEvents.add(new TraceEvent.EngineRestart(start[1] + 20_000, mSite.engine(0)));
        mEvents.add(new TraceEvent.PlatformLosesAnswers(start[1] + 30_000, 3));
        mEvents.add(new TraceEvent.EngineRestart(start[1] + 50_000, mSite.engine(1)));
        mEvents.add(new TraceEvent.Apply(start[2] + 40_000, dataCentreChange("out")));
        mEvents.add(new TraceEvent.LinkCut(start[2] + 50_000, "entry-1", "entry-4"));
        mEvents.add(new TraceEvent.LinkHealed(start[2] + 55_000));
        mEvents.add(new TraceEvent.Apply(start[3] + 20_000, dataCentreChange("in")));
        mEvents.add(new TraceEvent.BackendLeaving(start[3] + 30_000, mSite.engine(2)));
        mEvents.add(new TraceEvent.RouterStop(start[3] + 40_000, "entry-2"));
        mEvents.add(new TraceEvent.RouterStart(start[3] + 60_000, "entry-10", mSite.dataCentre(1)));
        mEvents.add(new TraceEvent.BackendJoined(start[4] + 10_000, mSite.engine(2)));
        mEvents.add(new TraceEvent.PlatformDown(start[4] + 30_000));
        mEvents.add(new TraceEvent.PlatformUp(start[4] + 60_000));
    }

    private void addJoins(long atMillis, String version) {
        mSite.servers(version).forEach(s -> mEvents.add(new TraceEvent.BackendJoined(atMillis, s)));
    }

    private static TraceEvent rollout(long atMillis, String name, String toVersion) {
        return new TraceEvent.RolloutStart(
                atMillis,
                name,
                "assistant",
                "1",
                toVersion,
                20 * MINUTE_MILLIS,
                10 * MINUTE_MILLIS);
    }

    private ObjectNode dataCentreChange(String state) {
        ObjectNode change = MAPPER.createObjectNode();
        change.putObject("dataCentres").putObject(mSite.dataCentre(2)).put("state", state);
        return change;
    }

    private void addRequest(
            long atMillis,
            String account,
            @org.jspecify.annotations.Nullable String chat,
            String method,
            String target,
            @org.jspecify.annotations.Nullable String key,
            int tokens) {
        mEvents.add(
                new TraceEvent.Request(
                        atMillis, "r" + mNextId++, account, chat, method, target, key, tokens));
    }

    private TraceHeader header() {
        Map<String, String> routers = new TreeMap<>();
        for (int router = 0; router < ROUTER_COUNT; router++) {
            routers.put("entry-" + (router + 1), mSite.dataCentre(router));
        }
        return new TraceHeader(
                TraceHeader.FORMAT,
                TraceHeader.VERSION,
                mSite.label(),
                mSeed,
                routers,
                settings(),
                VM_LIST_LAG_MILLIS,
                COLD_CONCURRENCY);
    }

    private ObjectNode settings() {
        ObjectNode settings = MAPPER.createObjectNode().put("site", mSite.label());
        ObjectNode dataCentres = settings.putObject("dataCentres");
        for (int index = 0; index < ReplaySite.DATA_CENTRE_COUNT; index++) {
            dataCentres.putObject(mSite.dataCentre(index)).put("state", "in");
        }
        ObjectNode accounts = settings.putObject("accounts");
        for (int index = 0; index < mSite.accountCount(); index++) {
            account(accounts, mSite.account(index), 400);
        }
        account(accounts, mSite.surgingAccount(), 5);
        services(settings.putObject("services"));
        ObjectNode servers = settings.putObject("backendServers");
        for (int index = 0; index < mSite.engineCount(); index++) {
            server(servers, mSite.engine(index), "assistant", index)
                    .put("version", mSite.version(index));
        }
        for (int index = 0; index < ReplaySite.PLAIN_SERVER_COUNT; index++) {
            server(servers, "orders-" + (index + 1), "orders", index);
        }
        return settings;
    }

    private static void services(ObjectNode services) {
        services.putObject("assistant")
                .put("kind", "engine")
                .put("model", "assistant-1")
                .put("pathPrefix", "/v1/chat/completions")
                .put("repeatable", true)
                .put("concurrency", 24)
                .put("coldConcurrency", COLD_CONCURRENCY);
        services.putObject("orders")
                .put("kind", "plain")
                .put("pathPrefix", "/orders/")
                .put("concurrency", 32)
                .put("coldConcurrency", 32);
    }

    private static void account(ObjectNode accounts, String name, int requestsPerSecond) {
        accounts.putObject(name)
                .put("keySha256", Sha256.of(Replay.KEY_PREFIX + name))
                .put("requestsPerSecond", requestsPerSecond)
                .put("burst", requestsPerSecond * 2);
    }

    private ObjectNode server(ObjectNode servers, String name, String service, int index) {
        return servers.putObject(name)
                .put("service", service)
                .put("dataCentre", mSite.dataCentre(index))
                .put("address", "10.0." + index + ".1:8000");
    }

    /** Merges the change into the target: nested objects are merged, other values replaced. */
    static void merge(ObjectNode target, ObjectNode change) {
        change.properties()
                .forEach(
                        entry -> {
                            JsonNode current = target.get(entry.getKey());
                            if (current instanceof ObjectNode object
                                    && entry.getValue() instanceof ObjectNode nested) {
                                merge(object, nested);
                            } else {
                                target.set(entry.getKey(), entry.getValue());
                            }
                        });
    }
}
