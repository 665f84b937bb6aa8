package sagepulley.scheduler;

import java.util.List;

/**
 * Computes weighted max-min fairness (water-filling): the units that an endpoint recently served
 * beyond reservations are divided by weight among the tenants, and no tenant gets more than its
 * demand.
 */
final class MaxMinFairness {
    private MaxMinFairness() {}

    /**
     * Returns the fair level in units per unit of weight, or infinity if every demand is satisfied.
     */
    static double level(List<TenantEndpointUsage> usages, double now) {
        double capacity = 0;
        double unsatisfiedWeight = 0;
        int unsatisfied = 0;
        for (TenantEndpointUsage usage : usages) {
            usage.updateDemand(now);
            capacity += usage.served;
            if (usage.unsatisfied) {
                unsatisfiedWeight += usage.weight;
                unsatisfied++;
            }
        }
        // A tenant that demands no more than its weighted part is satisfied, and the rest is
        // divided again.
        for (boolean changed = true; changed && unsatisfied > 0; ) {
            changed = false;
            for (TenantEndpointUsage usage : usages) {
                if (usage.unsatisfied
                        && usage.shareDemand <= usage.weight * capacity / unsatisfiedWeight) {
                    usage.unsatisfied = false;
                    unsatisfied--;
                    capacity -= usage.shareDemand;
                    unsatisfiedWeight -= usage.weight;
                    changed = true;
                }
            }
        }
        return unsatisfied == 0 ? Double.POSITIVE_INFINITY : capacity / unsatisfiedWeight;
    }
}
