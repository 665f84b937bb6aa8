package sagepulley.scheduler;

import java.util.List;
import java.util.Locale;

/**
 * What Scheduler has learned of a band, for whoever watches a gateway: the time that a unit takes
 * with no queue and usually, the age at which clients leave and the share that do; and how long it
 * lets queues be.
 */
public record TrafficClassView(
        double baseServiceTime,
        double meanServiceTime,
        double cancellationAge,
        double cancellationRatio,
        double admissionFactor) {
    /** The views of all bands, in their order. */
    public static List<TrafficClassView> of(Scheduler scheduler) {
        return scheduler.latencies.all().stream()
                .map(
                        row ->
                                new TrafficClassView(
                                        row.baseServiceTime,
                                        row.meanServiceTime,
                                        row.cancellationAge,
                                        row.cancellationRatio,
                                        scheduler.admission.admissionFactor()))
                .toList();
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "base:%.1f,mean:%.1f,left-age:%.0f,left-share:%.3f,ease:%.2f",
                baseServiceTime,
                meanServiceTime,
                cancellationAge,
                cancellationRatio,
                admissionFactor);
    }
}
