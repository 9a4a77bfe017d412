// Messages of the quota slice.
namespace java io.rhubarbward.gen.quota

// All that a holder has of a key, and what more it wants.
struct ClaimStruct {
  1: required string key;
  2: required i32 held;
  3: required i32 wanted;
}

struct QuotaAskStruct {
  1: required i64 sequence;
  2: required list<ClaimStruct> claims;
  // The number of the query that this answers, if it answers one.
  3: optional i64 answers;
}

struct GrantStruct {
  1: required string key;
  2: required i32 granted;
  3: required i64 retryAfterMillis;
}

struct QuotaAnswerStruct {
  1: required i64 sequence;
  2: required list<GrantStruct> grants;
}

// Asks for the receiver's holdings of the keys; the answer is an ask that wants nothing.
struct HoldingsQueryStruct {
  1: required list<string> keys;
  2: required i64 number;
}
