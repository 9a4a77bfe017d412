// Messages of the membership slice.
namespace java io.rhubarbward.gen.membership

struct HeartbeatStruct {
  1: required i64 incarnation;
  2: required i64 generation;
}

// Where the sender is reached, for peers whose VM list does not show it yet.
struct IntroductionStruct {
  1: required string dataCentre;
  2: required string address;
  3: required i64 incarnation;
}

// Asks whether the receiver hears the router on the VM.
struct AliveQueryStruct {
  1: required string vm;
}

struct AliveAnswerStruct {
  1: required string vm;
  2: required i64 ageMillis;
}
