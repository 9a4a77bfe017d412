// Messages of the request slice.
namespace java io.rhubarbward.gen.request

// A connection to an engine that was lost under a request.
struct CrashStruct {
  1: required string engine;
  // Both in milliseconds since 1970.
  2: required i64 sentMillis;
  3: required i64 lostMillis;
}

// A request that was in flight at crashes; without crashes it is cleared.
struct SuspectStruct {
  1: required string fingerprint;
  2: required list<CrashStruct> crashes;
  // Whether the sender is running it now.
  3: required bool trial;
}

struct SuspectNoticesStruct {
  1: required list<SuspectStruct> suspects;
}
