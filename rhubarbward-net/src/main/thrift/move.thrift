// Messages of the move slice.
namespace java io.rhubarbward.gen.move

struct RuleStruct {
  1: required double errorRatio;
  2: required i64 firstTokenMillis;
  3: required i64 betweenTokensMillis;
  4: required double slowRatio;
}

struct RolloutWordStruct {
  1: required string name;
  2: required i64 version;
  3: required string serviceName;
  4: required string fromVersion;
  5: required string toVersion;
  // The name of the state.
  6: required string state;
  7: required i32 sharePermille;
  8: required i64 plannedMillis;
  9: required map<string, RuleStruct> rules;
}

struct RolloutNewsStruct {
  1: required list<RolloutWordStruct> words;
  2: required set<string> stopped;
}

struct RolloutDigestStruct {
  1: required bool known;
  2: required map<string, i64> versions;
  3: required set<string> stopped;
}

// One version's counts: calls, failures, timed, slow first tokens, slow between tokens.
struct VersionReportRowStruct {
  1: required string rollout;
  2: required string route;
  3: required list<i32> oldVersion;
  4: required list<i32> newVersion;
}

struct VersionReportStruct {
  1: required i64 sequence;
  2: required list<VersionReportRowStruct> rows;
  3: required set<string> stopped;
}
