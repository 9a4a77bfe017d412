// What every message between routers travels in. Each slice has a file of its own for its messages.
namespace java io.rhubarbward.gen.peer

struct Envelope {
  // The name of the sender's VM; stated once on each connection.
  1: optional string sender;
  // Which message the body holds; a receiver ignores kinds that it does not know.
  2: required i32 kind;
  3: required binary body;
  // Whether the body is compressed (RFC 1951); left out if it is not.
  4: optional bool deflated;
}
