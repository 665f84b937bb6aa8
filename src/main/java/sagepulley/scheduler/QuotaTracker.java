package sagepulley.scheduler;

import java.util.Arrays;
import sagepulley.model.Deployment;
import sagepulley.model.Operation;
import sagepulley.model.QuotaTier;
import sagepulley.model.SlidingWindowCounter;
import sagepulley.model.Volume;

/**
 * Tracks what each tenant has used of its quota: the reservation (a token bucket), the weighted
 * share of each endpoint, and the rate limit, as in dmClock. Usage that endpoints report for other
 * gateways counts against the reservation and the share. Rates are units per second, times are
 * milliseconds.
 */
final class QuotaTracker {
    private static final double SHARE_WINDOW_MILLIS = 1_000;
    private static final int SHARE_WINDOW_BUCKETS = 5;
    private static final double FAIR_LEVEL_VALID_MILLIS = 50;

    /**
     * The maximum unused reservation that may offset the reported usage of other gateways, as a
     * time at its rate.
     */
    private static final double MAX_OVERFLOW_MILLIS = 5_000;

    /**
     * The multiple of its proportional share above which the usage of a volume beyond its
     * reservation is a surge.
     */
    private static final double SURGE_FACTOR = 2.5;

    private static final double LIMIT_RECHECK_MILLIS = 20;
    private static final double MILLIS_PER_SECOND = 1000;

    private final Deployment deployment;
    private final double slowStartMillis;
    private final WakeUpTime wakeUp;

    /** The sum of the weights of all volumes seen. */
    private double totalWeight;

    /**
     * The sum of the rates beyond reservations for which all volumes seen are provisioned, in units
     * per second. Each volume counts with at least half of its plan's rate.
     */
    private double totalShareRate;

    QuotaTracker(Deployment deployment, WakeUpTime wakeUp) {
        this.deployment = deployment;
        this.slowStartMillis = deployment.policy().slowStartTime();
        this.wakeUp = wakeUp;
    }

    /**
     * Returns the units that the volume may still send through this gateway under its rate limit,
     * or infinity if it has none. Requests a wake-up if it has one, as the limit refills with time.
     */
    double limitRemaining(Volume volume, double now) {
        double rate = volume.plan.limit();
        if (!(rate > 0)) {
            return Double.POSITIVE_INFINITY;
        }
        TenantUsage usage = usage(volume, now);
        double gateways = volume.gatewayCount;
        usage.limitLeft =
                Math.min(
                        volume.plan.limitBurst() / gateways,
                        usage.limitLeft
                                + rate
                                        / gateways
                                        * (now - usage.limitUpdatedAt)
                                        / MILLIS_PER_SECOND);
        usage.limitUpdatedAt = now;
        wakeUp.noLaterThan(now + LIMIT_RECHECK_MILLIS);
        return usage.limitLeft;
    }

    /**
     * Returns whether an operation of the given units fits into what is left of the reservation.
     */
    boolean fitsReservation(Volume volume, double units, double now) {
        return usage(volume, now).reservationLeft >= units;
    }

    /**
     * Returns a volume's recent usage beyond its reservation at an endpoint, with half of the given
     * units added, as a fraction of its proportional share.
     */
    double proportionalShareUtilization(
            Volume volume, EndpointState endpoint, double units, double now) {
        double used = usedBeyondReservation(usage(volume, now), endpoint, units, now);
        return used / proportionalShare(volume);
    }

    /**
     * Returns the recent usage beyond the reservation at an endpoint, or at all endpoints if it is
     * null, with half of the given units added.
     */
    private double usedBeyondReservation(
            TenantUsage usage, EndpointState endpoint, double units, double now) {
        SlidingWindowCounter used =
                endpoint == null
                        ? usage.beyondReservation
                        : usageAt(usage, endpoint).beyondReservation;
        return used.sumOverestimate(now) + units / 2;
    }

    /**
     * Returns the units that a volume gets in the share window if totalShareRate is divided by
     * weight among all volumes seen.
     */
    private double proportionalShare(Volume volume) {
        return volume.plan.weight()
                * totalShareRate
                / totalWeight
                * SHARE_WINDOW_MILLIS
                / MILLIS_PER_SECOND;
    }

    /**
     * Returns the fraction of its price at which an operation of the given units is valued: 1
     * inside the reservation, less inside the share, least in excess of the share.
     */
    double weightFraction(Volume volume, double units, EndpointState endpoint, double now) {
        TenantUsage usage = usage(volume, now);
        if (usage.reservationLeft >= units) {
            return 1;
        }
        // A gateway that shares an endpoint with many others sees too little of its traffic for the
        // fair level to detect a surge, so the volume is also compared with its proportional share.
        double used = usedBeyondReservation(usage, endpoint, units, now);
        if (used > SURGE_FACTOR * proportionalShare(volume)) {
            return deployment.excessWeightFraction();
        }
        if (endpoint == null || endpoint.isInSlowStart(now, slowStartMillis)) {
            return deployment.shareWeightFraction();
        }
        return used <= volume.plan.weight() * fairLevel(endpoint, now)
                ? deployment.shareWeightFraction()
                : deployment.excessWeightFraction();
    }

    /** Returns the quota tier of an operation at an endpoint, by the fair level computed last. */
    QuotaTier tier(Operation operation, EndpointState endpoint, double now) {
        TenantUsage usage = usage(operation.volume, now);
        if (usage.reservationLeft >= operation.units) {
            return QuotaTier.RESERVATION;
        }
        double shareLimit =
                Math.min(
                        SURGE_FACTOR * proportionalShare(operation.volume),
                        usage.weight * endpoint.fairLevel);
        double used = usageAt(usage, endpoint).beyondReservation.sumOverestimate(now);
        return used <= shareLimit - operation.units / 2 ? QuotaTier.SHARE : QuotaTier.EXCESS;
    }

    private static double fairLevel(EndpointState endpoint, double now) {
        if (now < endpoint.fairLevelValidUntil) {
            return endpoint.fairLevel;
        }
        endpoint.fairLevelValidUntil = now + FAIR_LEVEL_VALID_MILLIS;
        endpoint.fairLevel = MaxMinFairness.level(endpoint.tenantUsages, now);
        return endpoint.fairLevel;
    }

    /** Counts the units of an operation as demand at an endpoint. */
    void onDemand(Operation operation, EndpointState endpoint, double now) {
        usageAt(usage(operation.volume, now), endpoint).demand.add(now, operation.units);
    }

    /**
     * Charges the units of a first attempt to the limit and to the reservation, or to the share if
     * they do not fit into the reservation.
     */
    void onSent(Operation operation, EndpointState endpoint, double now) {
        TenantUsage usage = usage(operation.volume, now);
        usage.limitLeft -= operation.units;
        TenantEndpointUsage endpointUsage = usageAt(usage, endpoint);
        if (usage.reservationLeft >= operation.units) {
            usage.reservationLeft -= operation.units;
            endpointUsage.reserved.add(now, operation.units);
        } else {
            endpointUsage.beyondReservation.add(now, operation.units);
            usage.beyondReservation.add(now, operation.units);
        }
    }

    /**
     * Records that the endpoint served the volume; the endpoint's next usage report counts from
     * now.
     */
    void onServed(Volume volume, EndpointState endpoint, double now) {
        usageAt(usage(volume, now), endpoint).lastServedAt = now;
    }

    /**
     * Counts units that the endpoint served the volume through other gateways since its last
     * response.
     *
     * <p>Unused reservation that was lost here while the bucket was full offsets the units first;
     * then they are charged to the reservation and to the share. The sliding windows only get the
     * part of the units that falls into the share window, so that a report over many seconds does
     * not look like a surge.
     */
    void onOtherGatewaysUsage(Volume volume, EndpointState endpoint, double units, double now) {
        TenantUsage usage = usage(volume, now);
        TenantEndpointUsage endpointUsage = usageAt(usage, endpoint);
        double offset = Math.min(usage.reservationOverflow, units);
        usage.reservationOverflow -= offset;
        double reserved = Math.min(Math.max(0, usage.reservationLeft), units - offset);
        usage.reservationLeft -= reserved;
        double recentFraction =
                Math.min(1, SHARE_WINDOW_MILLIS / Math.max(1, now - endpointUsage.lastServedAt));
        endpointUsage.reserved.add(now, (offset + reserved) * recentFraction);
        endpointUsage.beyondReservation.add(now, (units - offset - reserved) * recentFraction);
        usage.beyondReservation.add(now, (units - offset - reserved) * recentFraction);
        endpointUsage.demand.add(now, units * recentFraction);
    }

    private static SlidingWindowCounter shareWindow() {
        return new SlidingWindowCounter(SHARE_WINDOW_MILLIS, SHARE_WINDOW_BUCKETS);
    }

    private TenantEndpointUsage usageAt(TenantUsage usage, EndpointState endpoint) {
        if (endpoint.index >= usage.byEndpoint.length) {
            int length = Math.max(endpoint.index + 1, 2 * usage.byEndpoint.length);
            usage.byEndpoint = Arrays.copyOf(usage.byEndpoint, length);
        }
        TenantEndpointUsage endpointUsage = usage.byEndpoint[endpoint.index];
        if (endpointUsage == null || endpointUsage.endpoint != endpoint) {
            endpointUsage =
                    new TenantEndpointUsage(
                            endpoint, usage.weight, shareWindow(), shareWindow(), shareWindow());
            usage.byEndpoint[endpoint.index] = endpointUsage;
            endpoint.tenantUsages.add(endpointUsage);
        }
        return endpointUsage;
    }

    /** Discards the usage of a volume, as if it had never been seen. */
    void forget(Volume volume) {
        TenantUsage usage = TenantUsage.of(volume);
        if (usage == null) {
            return;
        }
        totalWeight -= volume.plan.weight();
        totalShareRate -= provisionedShareRate(volume);
        for (TenantEndpointUsage endpointUsage : usage.byEndpoint) {
            if (endpointUsage != null) {
                endpointUsage.endpoint.tenantUsages.remove(endpointUsage);
            }
        }
        volume.schedulerState = null;
    }

    /** Returns the rate beyond its reservation for which a volume is provisioned. */
    private static double provisionedShareRate(Volume volume) {
        return Math.max(volume.plan.rate() / 2, volume.plan.rate() - volume.plan.reservation());
    }

    /**
     * Returns the usage of a volume, created on first use, with its reservation refilled up to now.
     */
    private TenantUsage usage(Volume volume, double now) {
        TenantUsage usage = TenantUsage.of(volume);
        double rate = volume.plan.reservation();
        double capacity = rate > 0 ? rate + deployment.maxUnits() : 0;
        if (usage == null) {
            usage = new TenantUsage(volume.plan.weight(), now, shareWindow());
            totalWeight += volume.plan.weight();
            totalShareRate += provisionedShareRate(volume);
            usage.reservationLeft = capacity;
            volume.schedulerState = usage;
        }
        if (now > usage.reservationUpdatedAt) {
            double refilled =
                    usage.reservationLeft
                            + rate * (now - usage.reservationUpdatedAt) / MILLIS_PER_SECOND;
            usage.reservationLeft = Math.min(capacity, refilled);
            usage.reservationOverflow =
                    Math.min(
                            usage.reservationOverflow + refilled - usage.reservationLeft,
                            rate * MAX_OVERFLOW_MILLIS / MILLIS_PER_SECOND);
            usage.reservationUpdatedAt = now;
        }
        return usage;
    }
}
