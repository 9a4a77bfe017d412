// Messages of the membership slice.
namespace java io.rhubarbward.gen.membership

struct HeartbeatStruct {
  1: required i64 incarnation;
  2: required i64 generation;
}
