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
        double totalWeight = 0;
        int unsatisfied = 0;
        for (TenantEndpointUsage usage : usages) {
            usage.updateDemand(now);
            capacity += usage.served;
            if (usage.unsatisfied) {
                totalWeight += usage.weight;
                unsatisfied++;
            }
        }
        // Whoever wants less than an even level is content with it; the rest is dealt out anew.
        for (boolean changed = true; changed && unsatisfied > 0; ) {
            changed = false;
            for (TenantEndpointUsage usage : usages) {
                if (usage.unsatisfied && usage.shareDemand <= usage.weight * capacity / totalWeight) {
                    usage.unsatisfied = false;
                    unsatisfied--;
                    capacity -= usage.shareDemand;
                    totalWeight -= usage.weight;
                    changed = true;
                }
            }
        }
        return unsatisfied == 0 ? Double.POSITIVE_INFINITY : capacity / totalWeight;
    }
}
