package sagepulley.scenario;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.SplittableRandom;
import sagepulley.membership.ReconnectBackoff;

/**
 * The result of a simulated reconnect storm: many gateways lose one directory at the same time and
 * call it until each has its endpoint list.
 *
 * @param usesBackoff whether the gateways use {@link ReconnectBackoff}; otherwise they call every
 *     250 ms
 * @param maxCallsInTenthSecond the most calls in a tenth of a second, after the first second
 * @param calls the total number of calls
 * @param allListedMillis the time from the directory's recovery until every gateway has a list
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

    /** The peak excludes the first second, in which all gateways call at once in either case. */
    private static final double FIRST_COUNTED_MILLIS = 1_000;

    private record Call(double atMillis, int gateway) {}

    /**
     * Simulates a storm.
     *
     * @param downMillis how long the directory is down
     * @param callsPerSecond the rate at which the directory then serves calls, one after another
     * @param queue the number of calls that may wait at the directory; further calls time out
     */
    public static ReconnectStorm simulate(
            int gateways,
            boolean usesBackoff,
            double downMillis,
            double callsPerSecond,
            int queue,
            long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Queue<Call> pendingCalls = new PriorityQueue<>(Comparator.comparingDouble(Call::atMillis));
        ReconnectBackoff[] backoffs = new ReconnectBackoff[gateways];
        for (int i = 0; i < gateways; i++) {
            backoffs[i] =
                    new ReconnectBackoff(MIN_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS, random.split());
            pendingCalls.add(new Call(random.nextDouble(), i));
        }
        Map<Long, Integer> callsByTenth = new HashMap<>();
        double busyUntilMillis = downMillis;
        double lastServedAtMillis = 0;
        long calls = 0;
        while (!pendingCalls.isEmpty()) {
            Call call = pendingCalls.poll();
            double nowMillis = call.atMillis();
            calls++;
            if (nowMillis >= FIRST_COUNTED_MILLIS) {
                callsByTenth.merge((long) (nowMillis / TENTH_MILLIS), 1, Integer::sum);
            }
            double pauseMillis =
                    usesBackoff ? backoffs[call.gateway()].nextDelayMillis() : FIXED_PAUSE_MILLIS;
            if (nowMillis < downMillis) {
                pendingCalls.add(new Call(nowMillis + pauseMillis, call.gateway()));
            } else if (busyUntilMillis - nowMillis > queue * MILLIS_PER_SECOND / callsPerSecond) {
                pendingCalls.add(
                        new Call(nowMillis + CALL_TIMEOUT_MILLIS + pauseMillis, call.gateway()));
            } else {
                busyUntilMillis =
                        Math.max(busyUntilMillis, nowMillis) + MILLIS_PER_SECOND / callsPerSecond;
                lastServedAtMillis = Math.max(lastServedAtMillis, busyUntilMillis);
            }
        }
        int maxCalls = callsByTenth.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        return new ReconnectStorm(
                gateways, usesBackoff, maxCalls, calls, lastServedAtMillis - downMillis);
    }
}
