package sagepulley.accounts;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Tracks the activity of a bounded number of nodes and the sums over all of them: units in flight,
 * units that wait for a claim, and service times, with which it compares those of one node. Times
 * are milliseconds.
 */
final class NodeActivities {
    /** A node is slow if its service time exceeds the mean of the other nodes by this factor. */
    private static final double SLOW_FACTOR = 1.5;

    private static final double COMPARISON_INTERVAL_MILLIS = 50;

    private final int maxNodes;
    private final Map<Integer, NodeActivity> nodes = new LinkedHashMap<>();

    /** Units of attempts in flight at any node. */
    final OutstandingWork outstanding = new OutstandingWork();

    private double claimingUnits;

    /** Service times of all nodes, summed at the latest comparison. */
    private final ServiceTimes reads = new ServiceTimes(false);

    private final ServiceTimes writes = new ServiceTimes(true);
    private double comparedAt = Double.NEGATIVE_INFINITY;

    NodeActivities(int maxNodes) {
        this.maxNodes = maxNodes;
    }

    /** Returns the activity of a node; null if it is not tracked. */
    NodeActivity get(int id) {
        return nodes.get(id);
    }

    /**
     * Returns the activity of a node and creates it if it is absent; null for node 0 or beyond the
     * bound.
     */
    NodeActivity getOrCreate(int id) {
        if (id == 0) {
            return null;
        }
        NodeActivity activity = nodes.get(id);
        if (activity == null && nodes.size() < maxNodes) {
            activity = new NodeActivity(id);
            nodes.put(id, activity);
        }
        return activity;
    }

    void forEach(BiConsumer<Integer, NodeActivity> consumer) {
        nodes.forEach(consumer);
    }

    // ---- claims ----

    void claimStarted(int node, double units) {
        claimingUnits += units;
        NodeActivity activity = getOrCreate(node);
        if (activity != null) {
            activity.claimingUnits += units;
        }
    }

    void claimEnded(int node, double units) {
        claimingUnits = Math.max(0, claimingUnits - units);
        NodeActivity activity = nodes.get(node);
        if (activity != null) {
            activity.claimingUnits = Math.max(0, activity.claimingUnits - units);
        }
    }

    /** Returns the units that hold a slot at a node (null: at any node) and wait for a claim. */
    double claimingUnits(NodeActivity activity) {
        return activity == null ? claimingUnits : activity.claimingUnits;
    }

    // ---- slow nodes ----

    /** Sums the service times of all nodes, at most once per interval. */
    void compareServiceTimes(double now) {
        if (now < comparedAt + COMPARISON_INTERVAL_MILLIS) {
            return;
        }
        comparedAt = now;
        reads.sum(nodes);
        writes.sum(nodes);
    }

    /**
     * Returns the fraction of a node's service time that exceeds the mean of the other nodes; 0 if
     * the node is not slow.
     */
    double slowFraction(NodeActivity activity, boolean isWrite) {
        return (isWrite ? writes : reads).slowFraction(activity);
    }

    private static final class ServiceTimes {
        private final boolean isWrite;
        private double sum;
        private int count;

        ServiceTimes(boolean isWrite) {
            this.isWrite = isWrite;
        }

        void sum(Map<Integer, NodeActivity> nodes) {
            sum = 0;
            count = 0;
            for (NodeActivity activity : nodes.values()) {
                if (activity.captureServiceTime(isWrite)) {
                    sum += activity.comparedServiceTime(isWrite);
                    count++;
                }
            }
        }

        double slowFraction(NodeActivity activity) {
            double own = activity.serviceTime(isWrite);
            if (Double.isNaN(own) || count < 2 || !activity.hasComparedServiceTime(isWrite)) {
                return 0;
            }
            double others = (sum - activity.comparedServiceTime(isWrite)) / (count - 1);
            return others > 0 && own > SLOW_FACTOR * others ? 1 - others / own : 0;
        }
    }
}
