// Messages of the engine slice.
namespace java io.rhubarbward.gen.engine

struct SharedLoadStruct {
  // Short forms: 32 bits of the hash of the engine's name and of its incarnation.
  1: required i32 server;
  2: required i32 incarnation;
  3: required i32 running;
  4: required i32 waiting;
  5: required i64 served;
  6: required i32 ageMillis;
  // Absent when the ramp began with the incarnation.
  7: optional i64 rampStart;
  // Absent when the engine stays.
  8: optional bool leaving;
}

struct LoadShareStruct {
  1: required list<SharedLoadStruct> loads;
}
