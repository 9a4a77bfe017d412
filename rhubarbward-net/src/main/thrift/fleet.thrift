// Messages of the relay slice.
namespace java io.rhubarbward.gen.fleet

// The era of the store's history, and the revision within it.
struct StoreRevisionStruct {
  1: required i64 era;
  2: required i64 number;
}

struct FollowRequestStruct {
  // The sender's monotonic clock, in milliseconds.
  1: required i64 sentMillis;
  2: required i64 unansweredMillis;
  // Revision of the sender's state by kind.
  3: required map<string, StoreRevisionStruct> revisions;
}

struct ObjectStateStruct {
  1: required string name;
  2: required StoreRevisionStruct revision;
  // As the store sent it; left out for a deleted object.
  3: optional string text;
}

struct KindNewsStruct {
  1: required string kind;
  // Left out if the objects are the complete state.
  2: optional StoreRevisionStruct since;
  3: required StoreRevisionStruct revision;
  4: required list<ObjectStateStruct> objects;
  5: required i64 stalenessMillis;
}

struct FollowAnswerStruct {
  1: required i64 echoMillis;
  2: required bool serving;
  3: required i64 millisSinceOutage;
  4: required list<KindNewsStruct> kinds;
}

// In the structs below, requests in flight are keyed by the 32 low bits of the hash of the server's
// id; servers without any are left out.

struct LimitObservationStruct {
  // Left out if the newest answer states no limit any more.
  1: optional double perSecond;
  2: required i64 ageMillis;
  3: required i32 sends;
}

// The figures of two versions: calls, failures, timed, slow first tokens, slow between tokens.
struct PairedFiguresStruct {
  1: required list<i32> oldVersion;
  2: required list<i32> newVersion;
}

// Digests are of what the sender knows of requests that crash servers.

struct LoadReportStruct {
  1: required i64 sequence;
  2: required map<i32, i32> inFlight;
  3: required i64 suspectsDigest;
  4: required map<i32, LimitObservationStruct> limits;
  5: required map<string, PairedFiguresStruct> versions;
  // Tenths of a place by a hash of service and account; left out if empty.
  6: optional map<i64, i32> accountPlaces;
}

struct LoadTotalsStruct {
  1: required i64 echoSequence;
  2: required map<i32, i32> inFlight;
  3: required i64 suspectsDigest;
  4: required map<i32, LimitObservationStruct> limits;
  5: required map<string, PairedFiguresStruct> versions;
  // Tenths of a place by a hash of service and account; left out if empty.
  6: optional map<i64, i32> accountPlaces;
}

struct DataCentreLoadStruct {
  1: required string aggregator;
  2: required i64 unheardMillis;
  3: required bool forwarded;
  4: required map<i32, i32> inFlight;
  5: required i64 suspectsDigest;
  6: required map<i32, LimitObservationStruct> limits;
  7: required map<string, PairedFiguresStruct> versions;
  // Tenths of a place by a hash of service and account; left out if empty.
  8: optional map<i64, i32> accountPlaces;
}

struct CrashSuspectStruct {
  1: required i64 trait;
  // Unix milliseconds by the hash of the server's incarnation.
  2: required map<i64, i64> crashes;
  // One bit for each request that was answered in full.
  3: required i64 answers;
  // The same for requests without the trait, while none with it was answered.
  4: optional i64 otherAnswers;
}

struct SuspectNewsStruct {
  1: required list<CrashSuspectStruct> suspects;
}
