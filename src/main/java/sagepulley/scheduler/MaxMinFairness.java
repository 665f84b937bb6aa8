package sagepulley.scheduler;

import java.util.List;

/**
 * Weighted max-min fairness (water-filling): what an endpoint lately served beyond reservations is
 * dealt out by weight among the tenants that want more. No tenant gets more than it asked for.
 */
final class MaxMinFairness {
    private MaxMinFairness() {}

    /** The fair level, in units for each unit of weight; infinite if no tenant wants more. */
    static double level(List<TenantEndpointUsage> usages, double now) {
        double capacity = 0;
        double weights = 0;
        int unsatisfied = 0;
        for (TenantEndpointUsage usage : usages) {
            usage.measure(now);
            capacity += usage.served;
            if (usage.unsatisfied) {
                weights += usage.weight;
                unsatisfied++;
            }
        }
        // Whoever wants less than an even level is content with it; the rest is dealt out anew.
        for (boolean again = true; again && unsatisfied > 0; ) {
            again = false;
            for (TenantEndpointUsage usage : usages) {
                if (usage.unsatisfied && usage.shareDemand <= usage.weight * capacity / weights) {
                    usage.unsatisfied = false;
                    unsatisfied--;
                    capacity -= usage.shareDemand;
                    weights -= usage.weight;
                    again = true;
                }
            }
        }
        return unsatisfied == 0 ? Double.POSITIVE_INFINITY : capacity / weights;
    }
}
