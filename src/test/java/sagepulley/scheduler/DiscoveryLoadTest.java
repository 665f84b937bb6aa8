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
 * Guards against a poll schedule that overloads discovery when many gateways start together.
 * Discovery serves polls in order, including those that have timed out, so polls repeated too soon
 * would keep it busy forever.
 */
class DiscoveryLoadTest {
    private static final double SERVICE_TIME_MILLIS = 60;
    private static final double POLL_TIMEOUT_MILLIS = 2_000;
    private static final double STEP_MILLIS = 5;
    private static final double DURATION_MILLIS = 20_000;

    private record Poll(int gateway, double at) {}

    @ParameterizedTest
    @ValueSource(ints = {20, 66, 100})
    void everyGatewayReceivesAList(int gateways) {
        List<SchedulerHarness> harnesses = new ArrayList<>();
        for (int i = 0; i < gateways; i++) {
            harnesses.add(new SchedulerHarness(1, i, gateways, true, Double.NaN, 6_000));
        }
        boolean[] hasList = new boolean[gateways];
        Deque<Poll> queue = new ArrayDeque<>();
        List<Poll> pending = new ArrayList<>();
        double now = harnesses.get(0).now;
        double freeAt = now;
        for (double end = now + DURATION_MILLIS; now < end; now += STEP_MILLIS) {
            for (int i = 0; i < gateways; i++) {
                if (!hasList[i]
                        && harnesses.get(i).scheduler.nextTurn(now).poll()
                                == SchedulerTurn.EndpointPoll.SUBSCRIBE) {
                    Poll request = new Poll(i, now);
                    queue.add(request);
                    pending.add(request);
                }
            }
            for (Poll request : List.copyOf(pending)) {
                if (now - request.at() > POLL_TIMEOUT_MILLIS) {
                    pending.remove(request);
                    harnesses.get(request.gateway()).scheduler.onPollFailed(now);
                }
            }
            for (;
                    !queue.isEmpty() && freeAt <= now;
                    freeAt = Math.max(freeAt, queue.poll().at()) + SERVICE_TIME_MILLIS) {
                Poll served = queue.peek();
                if (pending.remove(served)) {
                    SchedulerHarness harness = harnesses.get(served.gateway());
                    harness.scheduler.onEndpointList(harness.nodes, now);
                    harness.scheduler.onListConfirmed(now);
                    hasList[served.gateway()] = true;
                }
            }
            freeAt = Math.max(freeAt, now);
        }
        int count = 0;
        for (boolean received : hasList) {
            count += received ? 1 : 0;
        }
        assertEquals(gateways, count, "gateways with a list after " + DURATION_MILLIS + " ms");
    }
}
