package sagepulley.faultinjection;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Checks that no command begins at a draining or removed endpoint later than the drain grace after
 * its gateway was notified.
 *
 * <p>A gateway counts as notified once discovery has written the change to it, and at the latest 6
 * s after discovery had the change and was reachable, or 4 s after a reload if discovery had the
 * change before it.
 */
final class DrainRule {
    private static final long MAX_NOTIFICATION_MILLIS = 6_000;
    private static final long MAX_RELOAD_NOTIFICATION_MILLIS = 4_000;

    /**
     * The tolerance of each time limit, plus an allowance for delays between two sockets on a busy
     * machine.
     */
    private static final long SLACK_MILLIS = 50 + 150;

    private final List<GatewayProcess> processes;

    /** Times at which each gateway was sent SIGHUP with a new discovery address. */
    private final Map<Integer, List<Long>> reloads;

    private final Map<String, List<EndpointHistory.Change>> changesByEndpoint;
    private final List<DiscoveryServer.WrittenList> written;
    private final List<DiscoveryServer.Outage> outages;

    /** Creates the rule for the records of a fleet up to now. */
    DrainRule(TestFleet fleet) {
        this.processes = fleet.gateways;
        this.reloads = fleet.reloads();
        this.changesByEndpoint =
                fleet.discovery.endpoints.changes().stream()
                        .collect(Collectors.groupingBy(change -> change.endpoint().id()));
        this.written = fleet.discovery.written();
        this.outages = fleet.discovery.outages();
    }

    /** Returns a description of each command that violates the rule. */
    List<String> violations(List<StoreServer.Arrival> arrivals, List<Request> requests) {
        Map<String, Request> byId =
                requests.stream()
                        .collect(Collectors.toMap(request -> request.id, Function.identity()));
        List<String> violations = new ArrayList<>();
        for (StoreServer.Arrival arrival : arrivals) {
            Request request = byId.get(arrival.requestId());
            if (request != null) {
                violation(arrival, request).ifPresent(violations::add);
            }
        }
        return violations;
    }

    private Optional<String> violation(StoreServer.Arrival arrival, Request request) {
        GatewayView gateway = new GatewayView(request.gateway, arrival.arrivedAt());
        List<EndpointHistory.Change> changes =
                changesByEndpoint.getOrDefault(arrival.endpoint(), List.of());
        for (EndpointHistory.Change change : changes) {
            if (change.endpoint().state() == Endpoint.State.SERVING
                    || gateway.isNotifiedOfServingAgain(changes, change, arrival.arrivedAt())) {
                continue;
            }
            long lateNanos = arrival.arrivedAt() - gateway.notifiedAt(change);
            long lateMillis = TimeUnit.NANOSECONDS.toMillis(lateNanos);
            if (lateMillis > TestFleet.DRAIN_GRACE_MILLIS + SLACK_MILLIS) {
                return Optional.of(
                        request
                                + " began at "
                                + arrival.endpoint()
                                + " "
                                + lateMillis
                                + " ms after gateway "
                                + request.gateway
                                + " counted as notified that it is "
                                + change.endpoint().state());
            }
        }
        return Optional.empty();
    }

    /** The notifications received by the gateway process that ran at a given time. */
    private final class GatewayView {
        private final int gateway;
        private final long processStartedAt;

        GatewayView(int gateway, long at) {
            this.gateway = gateway;
            this.processStartedAt = processStartTime(gateway, at);
        }

        /**
         * Returns whether the process was notified by a given time, plus SLACK_MILLIS, that the
         * endpoint serves again.
         */
        boolean isNotifiedOfServingAgain(
                List<EndpointHistory.Change> changes, EndpointHistory.Change from, long until) {
            return changes.stream()
                    .filter(change -> change.revision() > from.revision())
                    .filter(change -> change.endpoint().state() == Endpoint.State.SERVING)
                    .anyMatch(
                            change ->
                                    notifiedAt(change)
                                            <= until + TimeUnit.MILLISECONDS.toNanos(SLACK_MILLIS));
        }

        /** Returns the time at which the process counts as notified of a change. */
        long notifiedAt(EndpointHistory.Change change) {
            long notified = timeReachableFor(change.at(), MAX_NOTIFICATION_MILLIS);
            for (long reload : reloads.getOrDefault(gateway, List.of())) {
                if (change.at() <= reload) {
                    notified =
                            Math.min(
                                    notified,
                                    timeReachableFor(reload, MAX_RELOAD_NOTIFICATION_MILLIS));
                }
            }
            for (DiscoveryServer.WrittenList list : written) {
                // Lists written to an earlier process do not notify this one.
                if (list.connectedAt() >= processStartedAt
                        && list.gateway() == gateway
                        && list.revision() >= change.revision()
                        && list.at() >= change.at()) {
                    notified = Math.min(notified, list.at());
                }
            }
            return notified;
        }
    }

    private long processStartTime(int gateway, long at) {
        return processes.stream()
                .filter(process -> process.number == gateway && process.startedAt <= at)
                .mapToLong(process -> process.startedAt)
                .max()
                .orElse(Long.MIN_VALUE);
    }

    /**
     * Returns the time at which discovery has been reachable without interruption for a period
     * since a given time.
     */
    private long timeReachableFor(long from, long millis) {
        long nanos = TimeUnit.MILLISECONDS.toNanos(millis);
        long since = from;
        for (DiscoveryServer.Outage outage : outages) {
            if (outage.until() > since && outage.from() < since + nanos) {
                since = outage.until();
            }
        }
        return since == Long.MAX_VALUE ? since : since + nanos;
    }
}
