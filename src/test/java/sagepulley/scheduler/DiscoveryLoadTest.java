package sagepulley.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sagepulley.model.SchedulerTurn;

/**
 * Many processes that start anew together and a discovery that serves their calls in turn. It works
 * on calls that have been given up as well, so that callers who come back too soon keep it busy
 * with nothing for good.
 */
class DiscoveryLoadTest {
    private static final double SERVICE_MS = 60;
    private static final double CALL_TIMEOUT_MS = 2_000;
    private static final double STEP_MS = 5;
    private static final double LENGTH_MS = 20_000;

    private record Call(int gateway, double at) {}

    @ParameterizedTest
    @ValueSource(ints = {20, 66, 100})
    void everyProcessHasAListInTheEnd(int gateways) {
        List<SchedulerHarness> hosts = new ArrayList<>();
        for (int i = 0; i < gateways; i++) {
            hosts.add(new SchedulerHarness(1, i, gateways, true, Double.NaN, 6_000));
        }
        boolean[] listed = new boolean[gateways];
        Deque<Call> queue = new ArrayDeque<>();
        List<Call> waiting = new ArrayList<>();
        double now = hosts.get(0).now;
        double idleAt = now;
        for (double end = now + LENGTH_MS; now < end; now += STEP_MS) {
            for (int i = 0; i < gateways; i++) {
                if (!listed[i]
                        && hosts.get(i).scheduler.nextTurn(now).poll()
                                == SchedulerTurn.EndpointPoll.SUBSCRIBE) {
                    Call call = new Call(i, now);
                    queue.add(call);
                    waiting.add(call);
                }
            }
            for (Call call : List.copyOf(waiting)) {
                if (now - call.at() > CALL_TIMEOUT_MS) {
                    waiting.remove(call);
                    hosts.get(call.gateway()).scheduler.onPollFailed(now);
                }
            }
            for (;
                    !queue.isEmpty() && idleAt <= now;
                    idleAt = Math.max(idleAt, queue.poll().at()) + SERVICE_MS) {
                Call served = queue.peek();
                if (waiting.remove(served)) {
                    SchedulerHarness harness = hosts.get(served.gateway());
                    harness.scheduler.onEndpointList(harness.nodes, now);
                    harness.scheduler.onListConfirmed(now);
                    listed[served.gateway()] = true;
                }
            }
            idleAt = Math.max(idleAt, now);
        }
        int count = 0;
        for (boolean each : listed) {
            count += each ? 1 : 0;
        }
        assertEquals(gateways, count, "processes with a list after " + LENGTH_MS + " ms");
    }
}
