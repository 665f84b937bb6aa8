package sagepulley.faultinjection;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.ToLongFunction;
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

    private final DiscoveryServer discovery;
    private final List<GatewayProcess> processes;

    /** When each gateway was sent SIGHUP with a new address of discovery. */
    private final Map<Integer, List<Long>> reloads;

    DrainRule(TestFleet fleet) {
        this.discovery = fleet.discovery;
        this.reloads = fleet.reloads();
        this.processes = fleet.gateways;
    }

    /** Sentences for the commands that broke it. */
    List<String> violations(List<StoreServer.Arrival> arrivals, List<Request> requests) {
        Map<String, Request> byId =
                requests.stream()
                        .collect(Collectors.toMap(request -> request.id, Function.identity()));
        Map<String, List<DiscoveryServer.Change>> changes =
                discovery.changes().stream()
                        .collect(Collectors.groupingBy(change -> change.endpoint().id()));
        List<DiscoveryServer.WrittenList> written = discovery.written();
        List<long[]> unreachable = discovery.outages();
        List<String> broken = new ArrayList<>();
        for (StoreServer.Arrival arrival : arrivals) {
            Request request = byId.get(arrival.requestId());
            if (request == null) {
                continue;
            }
            long startedAt = startOfProcess(request.gateway, arrival.firstByteAt());
            for (DiscoveryServer.Change change :
                    changes.getOrDefault(arrival.endpoint(), List.of())) {
                if (change.endpoint().state() == Endpoint.State.SERVING
                        || servesAgain(
                                changes.get(arrival.endpoint()),
                                change,
                                arrival.firstByteAt(),
                                each ->
                                        notifiedAt(
                                                each,
                                                request.gateway,
                                                startedAt,
                                                written,
                                                unreachable))) {
                    continue;
                }
                long notified =
                        notifiedAt(change, request.gateway, startedAt, written, unreachable);
                long late = TimeUnit.NANOSECONDS.toMillis(arrival.firstByteAt() - notified);
                if (late > TestFleet.DRAIN_GRACE_MILLIS + SLACK_MILLIS) {
                    broken.add(
                            request
                                    + " began at "
                                    + arrival.endpoint()
                                    + " "
                                    + late
                                    + " ms after gateway "
                                    + request.gateway
                                    + " counted as notified that it is "
                                    + change.endpoint().state());
                    break;
                }
            }
        }
        return broken;
    }

    /**
     * Whether the gateway had been notified, by the time of the command, that the endpoint serves
     * again.
     */
    private boolean servesAgain(
            List<DiscoveryServer.Change> changes,
            DiscoveryServer.Change from,
            long until,
            ToLongFunction<DiscoveryServer.Change> notifiedAt) {
        return changes.stream()
                .anyMatch(
                        change ->
                                change.revision() > from.revision()
                                        && change.endpoint().state() == Endpoint.State.SERVING
                                        && notifiedAt.applyAsLong(change)
                                                <= until
                                                        + TimeUnit.MILLISECONDS.toNanos(
                                                                SLACK_MILLIS));
    }

    private long notifiedAt(
            DiscoveryServer.Change change,
            int gateway,
            long startedAt,
            List<DiscoveryServer.WrittenList> written,
            List<long[]> unreachable) {
        long notified = reachableFor(change.at(), MAX_NOTIFICATION_MILLIS, unreachable);
        for (long reload : reloads.getOrDefault(gateway, List.of())) {
            if (change.at() <= reload) {
                notified =
                        Math.min(
                                notified,
                                reachableFor(reload, MAX_RELOAD_NOTIFICATION_MILLIS, unreachable));
            }
        }
        for (DiscoveryServer.WrittenList each : written) {
            if (each.connectedAt() >= startedAt
                    && each.gateway() == gateway
                    && each.revision() >= change.revision()
                    && each.at() >= change.at()) {
                notified = Math.min(notified, each.at());
            }
        }
        return notified;
    }

    /** What was written to a process that is gone by then tells the next one nothing. */
    private long startOfProcess(int gateway, long at) {
        return processes.stream()
                .filter(process -> process.number == gateway && process.startedAt <= at)
                .mapToLong(process -> process.startedAt)
                .max()
                .orElse(Long.MIN_VALUE);
    }

    /** When discovery has been reachable for so long at a stretch since a time. */
    private static long reachableFor(long from, long ms, List<long[]> unreachable) {
        long since = from;
        for (long[] outage : unreachable) {
            if (outage[1] > since && outage[0] < since + TimeUnit.MILLISECONDS.toNanos(ms)) {
                since = outage[1];
            }
        }
        return since == Long.MAX_VALUE ? since : since + TimeUnit.MILLISECONDS.toNanos(ms);
    }
}
