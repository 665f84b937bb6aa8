package sagepulley.scheduler;

import java.util.List;
import java.util.Locale;

/**
 * What the scheduler has learned of a traffic class, for monitoring; nothing is decided by it. The
 * service times of a unit (without a queue, and on average) and the age at which clients cancel are
 * milliseconds; the cancellation ratio is a part of 1, the admission factor about 1.
 */
public record TrafficClassView(
        double baseServiceTime,
        double meanServiceTime,
        double cancellationAge,
        double cancellationRatio,
        double admissionFactor) {
    /** The views of all traffic classes in their order. */
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
