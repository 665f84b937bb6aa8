package sagepulley.scenario;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.SplittableRandom;
import sagepulley.membership.ReconnectBackoff;

/**
 * Gateways that lost one directory together and poll it until it answers.
 *
 * @param usesBackoff whether they back off as the gateway does, or poll every 250 ms
 * @param maxCallsInTenthSecond the most calls in a tenth of a second, the first second left out
 * @param allListedMillis how long after the directory's return all of them had a list
 */
public record ReconnectStorm(
        int gateways,
        boolean usesBackoff,
        int maxCallsInTenthSecond,
        long calls,
        double allListedMillis) {
    private static final double FIXED_PAUSE_MILLIS = 250;
    private static final int MIN_BACKOFF_MILLIS = 100;
    private static final int MAX_BACKOFF_MILLIS = 5_000;
    private static final double CALL_TIMEOUT_MILLIS = 2_000;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final double TENTH_MILLIS = 100;

    /** All lose the directory in the first second, so that calls then are the same either way. */
    private static final double FIRST_COUNTED_MILLIS = 1_000;

    private record Call(double atMillis, int gateway) {}

    /**
     * Simulates a storm in one thread: the directory is down for so long, and then serves so many
     * calls a second, one after another, with a queue of so many; the rest time out.
     */
    public static ReconnectStorm simulate(
            int gateways,
            boolean usesBackoff,
            double downMillis,
            double callsPerSecond,
            int queue,
            long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Queue<Call> due = new PriorityQueue<>(Comparator.comparingDouble(Call::atMillis));
        ReconnectBackoff[] backoffs = new ReconnectBackoff[gateways];
        for (int i = 0; i < gateways; i++) {
            backoffs[i] =
                    new ReconnectBackoff(MIN_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS, random.split());
            due.add(new Call(random.nextDouble(), i));
        }
        Map<Long, Integer> callsByTenth = new HashMap<>();
        double busyUntil = downMillis;
        double last = 0;
        long calls = 0;
        while (!due.isEmpty()) {
            Call call = due.poll();
            double now = call.atMillis();
            calls++;
            if (now >= FIRST_COUNTED_MILLIS) {
                callsByTenth.merge((long) (now / TENTH_MILLIS), 1, Integer::sum);
            }
            double pause = usesBackoff ? backoffs[call.gateway()].nextDelayMillis() : FIXED_PAUSE_MILLIS;
            if (now < downMillis) {
                due.add(new Call(now + pause, call.gateway()));
            } else if (busyUntil - now > queue * MILLIS_PER_SECOND / callsPerSecond) {
                due.add(new Call(now + CALL_TIMEOUT_MILLIS + pause, call.gateway()));
            } else {
                busyUntil = Math.max(busyUntil, now) + MILLIS_PER_SECOND / callsPerSecond;
                last = Math.max(last, busyUntil);
            }
        }
        int maxCalls = callsByTenth.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        return new ReconnectStorm(gateways, usesBackoff, maxCalls, calls, last - downMillis);
    }
}
