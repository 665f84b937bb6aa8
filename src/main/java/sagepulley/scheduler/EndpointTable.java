package sagepulley.scheduler;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagepulley.membership.EndpointLease;
import sagepulley.model.Node;
import sagepulley.model.ServicePolicy;

/**
 * Holds the state of every listed endpoint, by index and by cell. A new endpoint takes over the
 * index of one that was removed for good, so that the table does not grow with every replacement.
 * Times are milliseconds.
 */
final class EndpointTable {
    /** The age above which a reported start is attributed to a clock error. */
    private static final double MAX_REPORTED_AGE_MILLIS = 3_000_000;

    private final ServicePolicy policy;
    private final EndpointLease lease;
    private final ConcurrencyLimiter concurrency;
    private final List<EndpointState> endpoints = new ArrayList<>();
    private final List<EndpointState> readOnlyEndpoints = Collections.unmodifiableList(endpoints);
    private final Map<Integer, List<EndpointState>> byCell = new HashMap<>();
    private boolean hasList;

    EndpointTable(ServicePolicy policy, EndpointLease lease, ConcurrencyLimiter concurrency) {
        this.policy = policy;
        this.lease = lease;
        this.concurrency = concurrency;
    }

    /** Returns all endpoints in the order of their index. */
    List<EndpointState> all() {
        return readOnlyEndpoints;
    }

    int size() {
        return endpoints.size();
    }

    EndpointState get(int index) {
        return endpoints.get(index);
    }

    /** Returns whether an endpoint list was ever received. */
    boolean hasList() {
        return hasList;
    }

    /**
     * Returns the endpoint that holds a cell, preferring one that is ready, or null if there is
     * none.
     */
    EndpointState holderOf(int cell) {
        EndpointState holder = null;
        for (EndpointState endpoint : byCell.getOrDefault(cell, List.of())) {
            if (holder == null
                    || (holder.node.phase != Node.Phase.READY
                            && endpoint.node.phase == Node.Phase.READY)) {
                holder = endpoint;
            }
        }
        return holder;
    }

    /** Applies the current endpoint list. */
    void update(List<Node> nodes, double now) {
        for (Node node : nodes) {
            EndpointState endpoint = EndpointState.of(node);
            if (endpoint == null) {
                add(node, now);
            } else if (hasRestarted(endpoint)) {
                endpoint.reportedStart = node.startedAt;
                endpoint.startedAt = clampStart(node.startedAt, now);
                concurrency.onRestart(endpoint);
            }
        }
        byCell.clear();
        for (EndpointState endpoint : endpoints) {
            byCell.computeIfAbsent(endpoint.node.cell, cell -> new ArrayList<>(1)).add(endpoint);
        }
        hasList = true;
    }

    private void add(Node node, double now) {
        EndpointState vacant =
                endpoints.stream().filter(EndpointState::isVacant).findFirst().orElse(null);
        int index = vacant == null ? endpoints.size() : vacant.index;
        EndpointState endpoint = new EndpointState(index, node, policy.overloadWindow());
        node.schedulerState = endpoint;
        endpoint.startedAt = clampStart(node.startedAt, now);
        if (vacant == null) {
            endpoints.add(endpoint);
        } else {
            endpoints.set(index, endpoint);
        }
        // An endpoint added after the first list counts as just started if no start or an old one
        // is reported.
        if (hasList && node.startedAt < now - policy.slowStartTime()) {
            endpoint.startedAt = now;
        }
    }

    private boolean hasRestarted(EndpointState endpoint) {
        double reported = endpoint.node.startedAt;
        return lease.isBounded()
                ? reported != endpoint.reportedStart
                : reported > endpoint.startedAt;
    }

    /**
     * Returns the reported start of an endpoint, limited to what is possible, as wall clocks may be
     * off. A start is never in the future and, since the latest confirmed list did not report it,
     * not before that confirmation. Only recent starts are reported, so one that appears very old
     * counts as now.
     *
     * <p>With an unbounded lease, or if no start is reported (negative infinity), the value is
     * returned unchanged.
     */
    private double clampStart(double reported, double now) {
        if (!lease.isBounded() || reported == Double.NEGATIVE_INFINITY) {
            return reported;
        }
        if (now - reported > MAX_REPORTED_AGE_MILLIS) {
            return now;
        }
        return Math.min(now, Math.max(reported, lease.confirmedAt()));
    }
}
