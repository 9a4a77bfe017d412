package io.rhubarbward.event;

import static java.lang.System.Logger.Level.DEBUG;
import static java.lang.System.Logger.Level.ERROR;
import static java.lang.System.Logger.Level.INFO;
import static java.lang.System.Logger.Level.WARNING;

import java.lang.System.Logger.Level;
import java.util.Locale;

/**
 * Every event that the system logs, each with a number that never changes.
 *
 * <p>{@code docs/EVENTS.md} says for each what it means and what to do. Each area has a range of a
 * hundred numbers.
 */
public enum LogEvent {
    // 1000: the process.
    ROUTER_STARTED(1001, INFO),
    ROUTER_READY(1002, INFO),
    ROUTER_DRAINING(1003, INFO),
    ROUTER_STOPPED(1004, INFO),
    ACTION_FAILED(1005, ERROR),
    ACTION_AFTER_CLOSE(1006, DEBUG),
    DRAIN_CUT_REQUESTS(1007, ERROR),
    SETTINGS_RELOADED(1008, INFO),
    SETTINGS_REFUSED(1009, ERROR),
    LOG_LINES_DROPPED(1010, WARNING),
    EVENT_LOOP_LATE(1011, WARNING),

    // 1100: configuration.
    CONFIG_IN_FORCE(1101, INFO),
    CONFIG_REFUSED(1102, WARNING),
    CONFIG_OLDER_IGNORED(1103, INFO),
    CONFIG_HEAD_LOWER(1104, WARNING),

    // 1200: the platform.
    PLATFORM_UNAVAILABLE(1201, WARNING),
    PLATFORM_AVAILABLE(1202, INFO),

    // 1300: membership and peers.
    PEER_MESSAGE_UNREADABLE(1301, WARNING),
    PEER_UNREACHABLE(1302, DEBUG),
    MEMBER_STATUS_CHANGED(1303, INFO),
    MEMBER_RESTARTED(1304, INFO),
    PROCESS_WAS_PAUSED(1305, WARNING),
    CONTROL_BUDGET_EXCEEDED(1306, WARNING),
    ROUTER_LISTED(1307, INFO),
    CLOCK_JUMPED(1308, WARNING),
    STORE_SOURCE_CHANGED(1309, INFO),
    RELAY_FOLLOWED(1310, INFO),
    STORE_RESTORED(1311, WARNING),
    STORE_ANSWER_OUTDATED(1312, INFO),
    STORE_KIND_RESTORED(1313, INFO),
    FORWARDING_PEERS_CHANGED(1314, INFO),
    STORE_WATCH_SILENT(1315, WARNING),

    // 1400: quota leases.
    CUSTODIAN_UNREACHABLE(1401, INFO),
    QUOTA_KEY_LEARNED(1402, DEBUG),
    HOLDER_LEASES_LAPSED(1403, INFO),

    // 1500: backend servers.
    BACKEND_STATE_CHANGED(1501, INFO),
    ENGINE_COLD_AGAIN(1502, WARNING),
    BACKEND_ENTRY_UNREADABLE(1503, WARNING),
    DATA_CENTRE_EMPTIED(1504, WARNING),
    BACKEND_CONNECTION_LOST(1505, INFO),
    BACKEND_LIMIT_CHANGED(1506, INFO),
    BACKEND_UNREACHABLE(1507, INFO),
    SERVERS_UNREACHABLE(1508, WARNING),
    SERVERS_REACHABLE(1509, INFO),
    BACKEND_SAYS_LEAVING(1510, INFO),
    BACKEND_RESTS(1511, INFO),
    BACKEND_BRITTLE_CHANGED(1512, INFO),
    BACKEND_PACE_CHANGED(1513, INFO),

    // 1600: routing (no events yet).

    // 1700: admission.
    REQUEST_WAITS(1701, INFO),
    REQUEST_PUT_OFF(1702, INFO),
    ROOM_WANTED(1703, WARNING),
    ROOM_REGAINED(1704, INFO),

    // 1800: requests.
    REQUEST_REFUSED(1801, INFO),
    ANSWER_CUT(1802, WARNING),
    REQUEST_QUARANTINED(1803, WARNING),
    REQUEST_SENT(1804, INFO),
    REQUEST_ENDED(1805, INFO),
    REQUEST_TRAIT_BLOCKED(1806, WARNING),
    REQUEST_FORWARDED(1807, INFO),
    REQUEST_DECLINED(1808, INFO),

    // 1900: rollouts of backend versions.
    MOVE_WORD_TAKEN(1901, DEBUG),
    MOVE_PLANNED(1902, INFO),
    MOVE_STEPPED(1903, INFO),
    MOVE_LATE(1904, WARNING),
    MOVE_WATCHING(1905, INFO),
    MOVE_DONE(1906, INFO),
    MOVE_TAKEN_BACK(1907, WARNING),
    MOVE_FAULT_FOUND(1908, WARNING),
    MOVE_STOPPED_HERE(1909, WARNING),
    MOVE_LEASE_TAKEN(1910, INFO),
    MOVE_ENGINE_ORDERED(1911, INFO),
    MOVE_RECORD_UNREADABLE(1912, WARNING),

    // 2000: connections.
    CONNECTION_FAILED(2001, DEBUG);

    private final int mNumber;
    private final Level mLevel;

    LogEvent(int number, Level level) {
        mNumber = number;
        mLevel = level;
    }

    /** Returns the number under which {@code docs/EVENTS.md} lists the event. */
    public int number() {
        return mNumber;
    }

    /** Returns the level at which the event is logged. */
    public Level level() {
        return mLevel;
    }

    /** Returns the name as written in logs, such as {@code config-in-force}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
