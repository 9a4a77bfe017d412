// Messages by which routers pass on the accepted configuration.
namespace java io.rhubarbward.gen.config

struct ConfigOfferStruct {
  1: required i64 generation;
}

struct ConfigHeadRequestStruct {
  1: required string site;
  // The generation that the sender has in force.
  2: required i64 generation;
  // Where the sender listens for peers, for a receiver that does not know it yet.
  3: required string replyTo;
}

struct ConfigHeadAnswerStruct {
  1: required i64 generation;
  // The SHA-256 of each chunk, by layer.
  2: required list<list<binary>> layers;
}

struct ConfigChunkRequestStruct {
  1: required list<binary> names;
  2: required string replyTo;
}

struct ConfigChunkAnswerStruct {
  // Each is named by its SHA-256, which the receiver works out itself.
  1: required list<string> texts;
}
