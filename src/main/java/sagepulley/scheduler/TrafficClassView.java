package sagepulley.scheduler;

import java.util.List;
import java.util.Locale;

/**
 * A snapshot of the statistics of a traffic class, for monitoring. The service times of a unit
 * (without a queue, and mean) and the mean age at which clients cancel are in milliseconds; the
 * cancellation ratio is a fraction of 1. The admission factor is common to all classes.
 */
public record TrafficClassView(
        double baseServiceTime,
        double meanServiceTime,
        double cancellationAge,
        double cancellationRatio,
        double admissionFactor) {
    /** Returns the views of all traffic classes, by index. */
    public static List<TrafficClassView> of(Scheduler scheduler) {
        return scheduler.latencies.all().stream()
                .map(
                        stats ->
                                new TrafficClassView(
                                        stats.baseServiceTime,
                                        stats.meanServiceTime,
                                        stats.cancellationAge,
                                        stats.cancellationRatio,
                                        scheduler.admission.admissionFactor()))
                .toList();
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "base-ms:%.1f,mean-ms:%.1f,cancel-age-ms:%.0f,cancel-ratio:%.3f,admission-factor:%.2f",
                baseServiceTime,
                meanServiceTime,
                cancellationAge,
                cancellationRatio,
                admissionFactor);
    }
}
