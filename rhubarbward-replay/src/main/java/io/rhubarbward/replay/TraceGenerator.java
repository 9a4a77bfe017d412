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
 * Makes traces at the two sites' sizes from a seed.
 *
 * <p>Busy periods of a minute and a half at growing pauses; chats that return within and between
 * them; an account that surges; engines that restart, leave and come back; a data centre out and
 * back; orders sent again; a platform that is down or loses answers; a router that is replaced.
 */
public final class TraceGenerator {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MINUTE = 60_000;
    private static final long PERIOD_MILLIS = 90_000;
    private static final long[] PERIOD_STARTS = {
        MINUTE, 5 * MINUTE, 15 * MINUTE, 35 * MINUTE, 75 * MINUTE
    };
    private static final int TURNS = 5;
    private static final int SURGE_REQUESTS = 1500;
    private static final long SURGE_MILLIS = 6000;
    private static final long BACKGROUND_MILLIS = 500;
    private static final int BACKGROUND_CHATS = 400;
    private static final int VM_LIST_LAG_MILLIS = 2000;
    private static final int COLD_CONCURRENCY = 2;
    private static final int ROUTERS = 9;

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

    /** Returns the trace that the site and seed stand for. */
    public static Trace generate(ReplaySite site, long seed) {
        return new TraceGenerator(site, seed).generate();
    }

    private Trace generate() {
        for (int chat = 0; chat < mSite.chats(); chat++) {
            chat("chat-" + chat);
        }
        for (int order = 0; order < mSite.orders(); order++) {
            order("order-" + order);
        }
        background();
        surge(PERIOD_STARTS[2] + 20_000);
        faults();
        mEvents.sort(Comparator.comparingLong(TraceEvent::atMillis));
        return new Trace(header(), mEvents);
    }

    private void chat(String chat) {
        String account = mSite.account(mRandom.nextInt(mSite.accounts()));
        for (int turn = 0; turn < TURNS; turn++) {
            int tokens = mRandom.nextInt(20, 100);
            request(anyTime(), account, chat, "POST", "/v1/chat/completions", null, tokens);
        }
    }

    private void order(String key) {
        String account = mSite.account(mRandom.nextInt(mSite.accounts()));
        long at = anyTime();
        request(at, account, null, "POST", "/orders/" + key, key, 2);
        if (mRandom.nextInt(3) == 0) {
            long later = at + mRandom.nextLong(10_000);
            request(later, account, null, "POST", "/orders/" + key, key, 2);
        }
    }

    private long anyTime() {
        long start = PERIOD_STARTS[mRandom.nextInt(PERIOD_STARTS.length)];
        return start + mRandom.nextLong(PERIOD_MILLIS);
    }

    /** A few chats at any time, also between the busy periods. */
    private void background() {
        long end = PERIOD_STARTS[PERIOD_STARTS.length - 1] + PERIOD_MILLIS;
        for (long at = MINUTE; at < end; at += mRandom.nextLong(2 * BACKGROUND_MILLIS)) {
            String chat = "steady-" + mRandom.nextInt(BACKGROUND_CHATS);
            String account = mSite.account(mRandom.nextInt(mSite.accounts()));
            int tokens = mRandom.nextInt(20, 100);
            request(at, account, chat, "POST", "/v1/chat/completions", null, tokens);
        }
    }

    /** One account sends at many times its rate. */
    private void surge(long at) {
        for (int request = 0; request < SURGE_REQUESTS; request++) {
            String chat = "surge-" + mRandom.nextInt(100);
            long when = at + mRandom.nextLong(SURGE_MILLIS);
            request(when, mSite.smallAccount(), chat, "POST", "/v1/chat/completions", null, 40);
        }
    }

    private void faults() {
        long[] start = PERIOD_STARTS;
        mSite.servers("2").forEach(s -> mEvents.add(new TraceEvent.BackendLeaving(0, s)));
        mSite.servers("3").forEach(s -> mEvents.add(new TraceEvent.BackendLeaving(0, s)));
        mEvents.add(rollout(start[1] + 10_000, "bad", "2"));
        join(start[1] + 15_000, "2");
        mEvents.add(new TraceEvent.VersionTurnsBad(start[1] + 60_000, "2", 400));
        mEvents.add(rollout(start[3], "good", "3"));
        join(start[3] + 5_000, "3");
        mEvents.add(new TraceEvent.EngineRestart(start[1] + 20_000, mSite.engine(0)));
        mEvents.add(new TraceEvent.PlatformLosesAnswers(start[1] + 30_000, 3));
        mEvents.add(new TraceEvent.EngineRestart(start[1] + 50_000, mSite.engine(1)));
        mEvents.add(new TraceEvent.Apply(start[2] + 40_000, dataCentre("out")));
        mEvents.add(new TraceEvent.LinkCut(start[2] + 50_000, "entry-1", "entry-4"));
        mEvents.add(new TraceEvent.LinkHealed(start[2] + 55_000));
        mEvents.add(new TraceEvent.Apply(start[3] + 20_000, dataCentre("in")));
        mEvents.add(new TraceEvent.BackendLeaving(start[3] + 30_000, mSite.engine(2)));
        mEvents.add(new TraceEvent.RouterStop(start[3] + 40_000, "entry-2"));
        mEvents.add(new TraceEvent.RouterStart(start[3] + 60_000, "entry-10", mSite.dataCentre(1)));
        mEvents.add(new TraceEvent.BackendJoined(start[4] + 10_000, mSite.engine(2)));
        mEvents.add(new TraceEvent.PlatformDown(start[4] + 30_000));
        mEvents.add(new TraceEvent.PlatformUp(start[4] + 60_000));
    }

    private void join(long at, String version) {
        mSite.servers(version).forEach(s -> mEvents.add(new TraceEvent.BackendJoined(at, s)));
    }

    private static TraceEvent rollout(long at, String name, String toVersion) {
        return new TraceEvent.RolloutStart(
                at, name, "assistant", "1", toVersion, 20 * MINUTE, 10 * MINUTE);
    }

    private ObjectNode dataCentre(String state) {
        ObjectNode change = MAPPER.createObjectNode();
        change.putObject("dataCentres").putObject(mSite.dataCentre(2)).put("state", state);
        return change;
    }

    private void request(
            long at,
            String account,
            @org.jspecify.annotations.Nullable String chat,
            String method,
            String target,
            @org.jspecify.annotations.Nullable String key,
            int tokens) {
        mEvents.add(
                new TraceEvent.Request(
                        at, "r" + mNextId++, account, chat, method, target, key, tokens));
    }

    private TraceHeader header() {
        Map<String, String> routers = new TreeMap<>();
        for (int router = 0; router < ROUTERS; router++) {
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
        for (int index = 0; index < ReplaySite.DATA_CENTRES; index++) {
            dataCentres.putObject(mSite.dataCentre(index)).put("state", "in");
        }
        ObjectNode accounts = settings.putObject("accounts");
        for (int index = 0; index < mSite.accounts(); index++) {
            account(accounts, mSite.account(index), 400);
        }
        account(accounts, mSite.smallAccount(), 5);
        services(settings.putObject("services"));
        ObjectNode servers = settings.putObject("backendServers");
        for (int index = 0; index < mSite.engines(); index++) {
            server(servers, mSite.engine(index), "assistant", index)
                    .put("version", mSite.version(index));
        }
        for (int index = 0; index < ReplaySite.PLAIN_SERVERS; index++) {
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

    private static void account(ObjectNode accounts, String name, int perSecond) {
        accounts.putObject(name)
                .put("keySha256", Sha256.of(Replay.KEY_PREFIX + name))
                .put("requestsPerSecond", perSecond)
                .put("burst", perSecond * 2);
    }

    private ObjectNode server(ObjectNode servers, String name, String service, int index) {
        return servers.putObject(name)
                .put("service", service)
                .put("dataCentre", mSite.dataCentre(index))
                .put("address", "10.0." + index + ".1:8000");
    }

    /** Merges the change onto the target, object by object. */
    static void merge(ObjectNode target, ObjectNode change) {
        change.properties()
                .forEach(
                        entry -> {
                            JsonNode below = target.get(entry.getKey());
                            if (below instanceof ObjectNode object
                                    && entry.getValue() instanceof ObjectNode nested) {
                                merge(object, nested);
                            } else {
                                target.set(entry.getKey(), entry.getValue());
                            }
                        });
    }
}
