package io.rhubarbward.net.peer;

import io.rhubarbward.gen.fleet.LoadNewsStruct;
import io.rhubarbward.gossip.LoadNews;
import java.util.List;

/** The codecs of the messages that gossip in-flight counts: kinds 70 to 79. */
final class GossipCodecs {
    private static final PeerCodec<LoadNews, LoadNewsStruct> LOAD_NEWS =
            new PeerCodec<>(
                    70,
                    LoadNews.class,
                    LoadNewsStruct::new,
                    news ->
                            new LoadNewsStruct(
                                    news.sentMillis(), news.echoMillis(), news.inFlight()),
                    struct ->
                            new LoadNews(
                                    struct.getSentMillis(),
                                    struct.getEchoMillis(),
                                    struct.getInFlight()));

    private GossipCodecs() {}

    static List<PeerCodec<?, ?>> all() {
        return List.of(LOAD_NEWS);
    }
}
