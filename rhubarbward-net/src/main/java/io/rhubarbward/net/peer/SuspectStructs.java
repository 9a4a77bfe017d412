package io.rhubarbward.net.peer;

import io.rhubarbward.gen.request.CrashStruct;
import io.rhubarbward.gen.request.SuspectNoticesStruct;
import io.rhubarbward.gen.request.SuspectStruct;
import io.rhubarbward.request.quarantine.Crash;
import io.rhubarbward.request.quarantine.SuspectNotice;
import io.rhubarbward.request.quarantine.SuspectNotices;

/** Converts notices of requests that may crash engines to and from Thrift structs. */
final class SuspectStructs {
    private SuspectStructs() {}

    static SuspectNoticesStruct toStruct(SuspectNotices message) {
        return new SuspectNoticesStruct(
                message.notices().stream().map(SuspectStructs::toStruct).toList());
    }

    private static SuspectStruct toStruct(SuspectNotice notice) {
        return new SuspectStruct(
                notice.fingerprint(),
                notice.crashes().stream().map(SuspectStructs::toStruct).toList(),
                notice.onTrialAtSender());
    }

    static SuspectNotices fromStruct(SuspectNoticesStruct struct) {
        return new SuspectNotices(
                struct.getSuspects().stream().map(SuspectStructs::fromStruct).toList());
    }

    private static SuspectNotice fromStruct(SuspectStruct struct) {
        return new SuspectNotice(
                struct.getFingerprint(),
                struct.getCrashes().stream().map(SuspectStructs::fromStruct).toList(),
                struct.isTrial());
    }

    private static CrashStruct toStruct(Crash crash) {
        return new CrashStruct(crash.engine(), crash.sentMillis(), crash.lostMillis());
    }

    private static Crash fromStruct(CrashStruct struct) {
        return new Crash(struct.getEngine(), struct.getSentMillis(), struct.getLostMillis());
    }
}
