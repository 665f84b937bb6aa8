package sagepulley.scheduler;

import java.util.Arrays;
import sagepulley.model.Deployment;
import sagepulley.model.Operation;
import sagepulley.model.QuotaTier;
import sagepulley.model.SlidingWindowCounter;
import sagepulley.model.Volume;

/**
 * What each tenant has used of its quota: the reservation (a token bucket), the weighted share of
 * each endpoint, and the rate limit, as the three figures of dmClock. Units that other gateways
 * report count like our own. Rates are units a second, times milliseconds.
 */
final class QuotaTracker {
    private static final double SHARE_WINDOW_MILLIS = 1_000;
    private static final int SHARE_WINDOW_BUCKETS = 5;
    private static final double FAIR_LEVEL_VALID_MILLIS = 50;

    /** How much of an unused reservation may be set off against what other gateways report. */
    private static final double MAX_OVERFLOW_MILLIS = 5_000;

    /** A volume that takes so many times its even level is in a surge. */
    private static final double SURGE_FACTOR = 2.5;

    private static final double LIMIT_RECHECK_MILLIS = 20;
    private static final double MILLIS_PER_SECOND = 1000;

    private final Deployment deployment;
    private final double slowStartMillis;
    private final WakeUpTime wakeUp;

    /** Sum of the weights of all volumes met. */
    private double totalWeight;

    /** Units a second beyond reservations that all volumes met are sized for. */
    private double totalShareRate;

    QuotaTracker(Deployment deployment, WakeUpTime wakeUp) {
        this.deployment = deployment;
        this.slowStartMillis = deployment.policy().slowStartTime();
        this.wakeUp = wakeUp;
    }

    /** Units that the volume may still send through this gateway by its rate limit. */
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

    /** Whether an operation of so many units fits into what is left of the reservation. */
    boolean fitsReservation(Volume volume, double units, double now) {
        return usage(volume, now).reservationLeft >= units;
    }

    /** The part of its even level that a volume uses at an endpoint, with so many units more. */
    double proportionalShareUtilization(Volume volume, EndpointState endpoint, double units, double now) {
        double used = usedBeyondReservation(usage(volume, now), endpoint, units, now);
        return used / proportionalShare(volume);
    }

    /** Units used beyond the reservation, at all endpoints if none is given, and half of these. */
    private double usedBeyondReservation(
            TenantUsage usage, EndpointState endpoint, double units, double now) {
        SlidingWindowCounter used =
                endpoint == null
                        ? usage.beyondReservation
                        : usageAt(usage, endpoint).beyondReservation;
        return used.sumOverestimate(now) + units / 2;
    }

    /**
     * A volume's units in the share window if each took by weight what all that were met are sized
     * for.
     */
    private double proportionalShare(Volume volume) {
        return volume.plan.weight()
                * totalShareRate
                / totalWeight
                * SHARE_WINDOW_MILLIS
                / MILLIS_PER_SECOND;
    }

    /**
     * The part of its price that so many units of a volume are still worth: all inside the
     * reservation, less inside the share, least in excess of it.
     */
    double weightFraction(Volume volume, double units, EndpointState endpoint, double now) {
        TenantUsage usage = usage(volume, now);
        if (usage.reservationLeft >= units) {
            return 1;
        }
        // Where many gateways share an endpoint, none sees enough of it to deal it out: a volume
        // that takes far more than its weight of what all volumes are sized for is in a surge.
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

    /** The tier of its quota that an operation is in, by the fair level last dealt out. */
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

    /** Counts an operation that asks for an endpoint. */
    void onDemand(Operation operation, EndpointState endpoint, double now) {
        usageAt(usage(operation.volume, now), endpoint).demand.add(now, operation.units);
    }

    /** Takes the units of a first attempt from the limit and from the reservation or the share. */
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

    /** The endpoint has answered for the volume: its next report counts from here. */
    void onServed(Volume volume, EndpointState endpoint, double now) {
        usageAt(usage(volume, now), endpoint).reportedAt = now;
    }

    /**
     * Counts units that the endpoint served the volume through other gateways since its last
     * answer. A sum over many seconds must not look like a surge: of the reservation it costs what
     * our own count did not lose while full, and of the latest window its part.
     */
    void onOtherGatewaysUsage(Volume volume, EndpointState endpoint, double units, double now) {
        TenantUsage usage = usage(volume, now);
        TenantEndpointUsage endpointUsage = usageAt(usage, endpoint);
        double offset = Math.min(usage.reservationOverflow, units);
        usage.reservationOverflow -= offset;
        double reserved = Math.min(Math.max(0, usage.reservationLeft), units - offset);
        usage.reservationLeft -= reserved;
        double recentFraction = Math.min(1, SHARE_WINDOW_MILLIS / Math.max(1, now - endpointUsage.reportedAt));
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

    /** The usage of a volume with its reservation refilled up to now. */
    private TenantUsage usage(Volume volume, double now) {
        TenantUsage usage = TenantUsage.of(volume);
        double rate = volume.plan.reservation();
        double capacity = rate > 0 ? rate + deployment.maxUnits() : 0;
        if (usage == null) {
            usage = new TenantUsage(volume.plan.weight(), now, shareWindow());
            totalWeight += volume.plan.weight();
            totalShareRate += Math.max(volume.plan.rate() / 2, volume.plan.rate() - rate);
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
