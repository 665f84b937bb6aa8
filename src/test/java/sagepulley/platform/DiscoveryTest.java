package sagepulley.platform;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls to discovery: what is told, and that each failure is told once. */
@Timeout(60)
class DiscoveryTest {
    private static final String CHANGE = "{\"revision\":%d,\"complete\":false,\"members\":[%s]}";
    private final List<Listing> told = new CopyOnWriteArrayList<>();
    private final List<String> failures = new CopyOnWriteArrayList<>();
    private EventLoop loop;

    private DiscoveryLink link(Peers peers) throws Exception {
        Transport transport = Transport.sockets();
        DiscoveryLink link = new DiscoveryLink(transport, peers.discovery(), 41, new DiscoveryLink.Owner() {
            @Override
            public void listed(Listing listing) {
                told.add(listing);
            }

            @Override
            public void listFailed(String why) {
                failures.add(why);
            }
        });
        loop = transport.loops().next();
        loop.submit(link::subscribe).get(10, TimeUnit.SECONDS);
        return link;
    }

    @Test
    void aWatchTellsEachChangeAndSkipsEmptyLinesAndEntriesThatCannotBeRead() throws Exception {
        try (Peers peers = new Peers((words, talk) -> talk.say(Peers.VALUE))) {
            await().until(() -> peers.watches.size() == 1);
            link(peers);
            await().until(() -> told.size() == 1);
            assertTrue(peers.calls.get(1).startsWith("GET /v1/endpoints?watch=1&after=41 "));
            Peers.Talk watch = peers.watches.get(1);
            Peers.tell(watch, "");
            Peers.tell(watch, CHANGE.formatted(43, "{\"id\":\"a\",\"host_port\":\"127.0.0.1:7\",\"locality\":\"here\","
                    + "\"flavor\":\"plain\",\"cell\":0,\"phase\":\"DRAINING\",\"size\":1,\"up_since_ms\":0},"
                    + "{\"id\":7},{\"id\":\"b\",\"phase\":\"DELETED\"}"));
            await().until(() -> told.size() == 2);
            assertEquals(2, told.get(1).members().size());
            assertEquals(1, told.get(1).unreadable().size());
            assertEquals(43, told.get(1).revision());
            assertEquals(List.of(), failures);
            watch.socket.close();
            await().until(() -> failures.size() == 1);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "HTTP nonsense\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{\"broken\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{}\n\r\n0\r\n\r\n"})
    void aCallThatFailsIsToldOnce(String answer) throws Exception {
        try (Peers peers = new Peers((words, talk) -> talk.say(Peers.VALUE))) {
            peers.listing = answer;
            link(peers);
            await().until(() -> !failures.isEmpty());
            peers.gateway.finish();
            peers.gateway.ended().join();
            assertEquals(1, failures.size());
            assertEquals(List.of(), told);
        }
    }

    @Test
    void aDiscoveryThatSaysNothingHasFailedAfterAWhile() throws Exception {
        try (Peers peers = new Peers((words, talk) -> talk.say(Peers.VALUE))) {
            peers.listing = null;
            link(peers);
            await().atMost(20, TimeUnit.SECONDS).until(() -> failures.size() == 1);
        }
    }

    @Test
    void aNewAddressIsAskedAtOnceAndTheOldWatchsEndIsNoFailure() throws Exception {
        try (Peers peers = new Peers((words, talk) -> talk.say(Peers.VALUE))) {
            DiscoveryLink link = link(peers);
            await().until(() -> told.size() == 1);
            var second = peers.discovery();
            loop.submit(() -> link.moveTo(second)).get(10, TimeUnit.SECONDS);
            await().until(() -> told.size() == 2);
            assertEquals(List.of(), failures);
        }
    }
}
