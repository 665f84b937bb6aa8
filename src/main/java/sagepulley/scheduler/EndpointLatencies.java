package sagepulley.scheduler;

import java.util.List;
import java.util.function.ToDoubleFunction;
import sagepulley.model.Attempt;

/**
 * Compares the service times of the endpoints. Maintains each endpoint's latency ratio and its
 * ratio of write to read service time, both relative to the mean of all endpoints, and recomputes
 * them at each refresh.
 */
final class EndpointLatencies {
    private static final int READS = 0;
    private static final int WRITES = 1;

    /** The weight of the previous service time at each refresh. */
    private static final double SMOOTHING = 0.5;

    private EndpointLatencies() {}

    /** Records the duration and units of a served attempt. */
    static void onServed(Attempt attempt, EndpointState endpoint) {
        int direction = attempt.operation.trafficClass.writes() ? WRITES : READS;
        endpoint.responseMillis[direction] += attempt.duration;
        endpoint.servedUnits[direction] += attempt.operation.units;
    }

    /** Recomputes the ratios of all endpoints from the attempts served since the last refresh. */
    static void refresh(List<EndpointState> endpoints) {
        for (EndpointState endpoint : endpoints) {
            updateServiceTimes(endpoint);
        }
        double meanServiceTime = mean(endpoints, endpoint -> endpoint.smoothedServiceTime);
        double meanWriteToRead = mean(endpoints, EndpointLatencies::writeToReadOrNaN);
        for (EndpointState endpoint : endpoints) {
            endpoint.latencyRatio =
                    Double.isNaN(endpoint.smoothedServiceTime) || !(meanServiceTime > 0)
                            ? 1
                            : endpoint.smoothedServiceTime / meanServiceTime;
            endpoint.writeReadRatio =
                    hasReadsAndWrites(endpoint) && meanWriteToRead > 0
                            ? writeToRead(endpoint) / meanWriteToRead
                            : 1;
        }
    }

    /** Returns the mean of the values that are not NaN, or NaN if there is none. */
    private static double mean(
            List<EndpointState> endpoints, ToDoubleFunction<EndpointState> value) {
        double sum = 0;
        int count = 0;
        for (EndpointState endpoint : endpoints) {
            double sample = value.applyAsDouble(endpoint);
            if (!Double.isNaN(sample)) {
                sum += sample;
                count++;
            }
        }
        return sum / count;
    }

    private static boolean hasReadsAndWrites(EndpointState endpoint) {
        return !Double.isNaN(endpoint.serviceTimes[READS])
                && !Double.isNaN(endpoint.serviceTimes[WRITES]);
    }

    private static double writeToRead(EndpointState endpoint) {
        return endpoint.serviceTimes[WRITES] / endpoint.serviceTimes[READS];
    }

    private static double writeToReadOrNaN(EndpointState endpoint) {
        return hasReadsAndWrites(endpoint) && endpoint.serviceTimes[READS] > 0
                ? writeToRead(endpoint)
                : Double.NaN;
    }

    private static void updateServiceTimes(EndpointState endpoint) {
        double units = endpoint.servedUnits[READS] + endpoint.servedUnits[WRITES];
        if (units > 0) {
            double millis = endpoint.responseMillis[READS] + endpoint.responseMillis[WRITES];
            endpoint.smoothedServiceTime = smooth(endpoint.smoothedServiceTime, millis / units);
        }
        for (int i = READS; i <= WRITES; i++) {
            if (endpoint.servedUnits[i] > 0) {
                double latest = endpoint.responseMillis[i] / endpoint.servedUnits[i];
                endpoint.serviceTimes[i] = smooth(endpoint.serviceTimes[i], latest);
            }
            endpoint.responseMillis[i] = 0;
            endpoint.servedUnits[i] = 0;
        }
    }

    private static double smooth(double previous, double latest) {
        return Double.isNaN(previous) ? latest : SMOOTHING * previous + (1 - SMOOTHING) * latest;
    }
}
