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
 * The state of every listed endpoint, by index and by cell. The place of an endpoint that is gone
 * for good is taken by the next new one, so that there are as many places as the fleet is wide.
 * Times are milliseconds.
 */
final class EndpointTable {
    /** A start that looks longer ago was reported by another clock. */
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

    /** All endpoints in the order of their index. */
    List<EndpointState> all() {
        return readOnlyEndpoints;
    }

    int size() {
        return endpoints.size();
    }

    EndpointState get(int index) {
        return endpoints.get(index);
    }

    /** Whether an endpoint list was ever seen. */
    boolean hasList() {
        return hasList;
    }

    /** The endpoint that holds a cell, one that is ready before others; null if there is none. */
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

    /** Takes over the endpoint list as it now stands. */
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
            byCell.computeIfAbsent(endpoint.node.cell, any -> new ArrayList<>(1)).add(endpoint);
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
        // An endpoint that turns up later has just started, whatever start is reported of it.
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
     * The start of an endpoint, which is reported by a wall clock that may be off here or there:
     * never later than now, and, once a list was confirmed, not before that list, which knew
     * nothing of it. A start that is reported at all was recent.
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
