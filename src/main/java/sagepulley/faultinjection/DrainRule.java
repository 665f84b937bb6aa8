package sagepulley.faultinjection;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The rule on draining and removed endpoints, judged from what passed on the sockets: no command
 * may begin at an endpoint later than the grace after the gateway was notified that it drains or is
 * gone. A gateway counts as notified once discovery has written the change to it, and at the latest
 * 6 s after discovery had it and could be reached, or 4 s after a new configuration of which
 * discovery had the change already.
 */
final class DrainRule {
    private static final long MAX_NOTIFICATION_MILLIS = 6_000;
    private static final long MAX_RELOAD_NOTIFICATION_MILLIS = 4_000;

    /**
     * What the page allows each time limit, and what a busy machine adds between the two sockets.
     */
    private static final long SLACK_MILLIS = 50 + 150;

    private final List<GatewayProcess> processes;

    /** When each gateway was sent SIGHUP with a new address of discovery. */
    private final Map<Integer, List<Long>> reloads;

    private final Map<String, List<EndpointHistory.Change>> changesByEndpoint;
    private final List<DiscoveryServer.WrittenList> written;
    private final List<DiscoveryServer.Outage> outages;

    /** The rule for what a fleet has recorded up to now. */
    DrainRule(TestFleet fleet) {
        this.processes = fleet.gateways;
        this.reloads = fleet.reloads();
        this.changesByEndpoint =
                fleet.discovery.endpoints.changes().stream()
                        .collect(Collectors.groupingBy(change -> change.endpoint().id()));
        this.written = fleet.discovery.written();
        this.outages = fleet.discovery.outages();
    }

    /** Sentences for the commands that broke it. */
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
        GatewayView gateway = new GatewayView(request.gateway, arrival.firstByteAt());
        List<EndpointHistory.Change> changes =
                changesByEndpoint.getOrDefault(arrival.endpoint(), List.of());
        for (EndpointHistory.Change change : changes) {
            if (change.endpoint().state() == Endpoint.State.SERVING
                    || gateway.isNotifiedOfServingAgain(changes, change, arrival.firstByteAt())) {
                continue;
            }
            long lateNanos = arrival.firstByteAt() - gateway.notifiedAt(change);
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

    /** What the process of a gateway that ran at a time had been notified of. */
    private final class GatewayView {
        private final int gateway;
        private final long processStartedAt;

        GatewayView(int gateway, long at) {
            this.gateway = gateway;
            this.processStartedAt = processStartTime(gateway, at);
        }

        /**
         * Whether it had been notified, by the time of the command, that the endpoint serves again.
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

        /** When it counts as notified of a change. */
        long notifiedAt(EndpointHistory.Change change) {
            long notified = timeReachableFor(change.at(), MAX_NOTIFICATION_MILLIS);
            for (long reload : reloads.getOrDefault(gateway, List.of())) {
                if (change.at() <= reload) {
                    notified =
                            Math.min(
                                    notified, timeReachableFor(reload, MAX_RELOAD_NOTIFICATION_MILLIS));
                }
            }
            for (DiscoveryServer.WrittenList list : written) {
                // What was written to a process that is gone by then notifies the next of nothing.
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

    /** When discovery has been reachable for so long at a stretch since a time. */
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
