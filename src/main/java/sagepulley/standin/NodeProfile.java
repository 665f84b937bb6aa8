package sagepulley.standin;

import java.nio.file.Path;

/**
 * Configuration of a stand-in node.
 *
 * @param id the node's number in the endpoint list
 * @param cell the cell whose extents the node holds
 * @param zone index of the node's zone in the site's list
 * @param kind index of the node's kind in the site's list
 * @param slots number of operations served concurrently
 * @param readCostMillis service time per unit read, in milliseconds of one slot
 * @param writeCostMillis service time per unit written, in milliseconds of one slot
 * @param queueLimit maximum number of queued operations
 * @param extentBytes size of an extent
 * @param slowStartShare share of the capacity available right after a start, 0 to 1
 * @param slowStartMillis time after a start until the full capacity is available
 * @param overloadMultiple load that the node sustains during its slow start, as a multiple of its
 *     present capacity
 * @param overloadWindowMillis window over which that load is measured
 * @param slowStartUnits units per window that the node sustains in any case
 * @param deferredShare share of each write's cost that is deferred, 0 to 1
 * @param deferIntervalMillis interval at which all deferred work is done in one step
 * @param dataFolder folder of the data files; null to keep data in memory
 */
public record NodeProfile(
        int id,
        int cell,
        int zone,
        int kind,
        int slots,
        double readCostMillis,
        double writeCostMillis,
        int queueLimit,
        int extentBytes,
        double slowStartShare,
        double slowStartMillis,
        double overloadMultiple,
        double overloadWindowMillis,
        double slowStartUnits,
        double deferredShare,
        double deferIntervalMillis,
        Path dataFolder) {

    /**
     * Returns the profile of a node in memory without service times, with four slots and a queue of
     * 256.
     */
    public static NodeProfile zeroCost(int id, int extentBytes) {
        return new NodeProfile(
                id, id, 0, 0, 4, 0, 0, 256, extentBytes, 0.25, 10_000, 2, 2_000, 8, 0, 1_000, null);
    }

    /** Returns a copy with a service time per unit, in milliseconds of one slot. */
    public NodeProfile withCost(double readMillis, double writeMillis) {
        return new NodeProfile(
                id,
                cell,
                zone,
                kind,
                slots,
                readMillis,
                writeMillis,
                queueLimit,
                extentBytes,
                slowStartShare,
                slowStartMillis,
                overloadMultiple,
                overloadWindowMillis,
                slowStartUnits,
                deferredShare,
                deferIntervalMillis,
                dataFolder);
    }

    /** Returns a copy in another zone. */
    public NodeProfile withZone(int newZone) {
        return new NodeProfile(
                id,
                cell,
                newZone,
                kind,
                slots,
                readCostMillis,
                writeCostMillis,
                queueLimit,
                extentBytes,
                slowStartShare,
                slowStartMillis,
                overloadMultiple,
                overloadWindowMillis,
                slowStartUnits,
                deferredShare,
                deferIntervalMillis,
                dataFolder);
    }

    /**
     * Returns a copy with another slow start; the parameters match the components slowStartShare,
     * slowStartMillis, overloadMultiple, overloadWindowMillis and slowStartUnits.
     */
    public NodeProfile withSlowStart(
            double startShare,
            double startMillis,
            double multiple,
            double windowMillis,
            double units) {
        return new NodeProfile(
                id,
                cell,
                zone,
                kind,
                slots,
                readCostMillis,
                writeCostMillis,
                queueLimit,
                extentBytes,
                startShare,
                startMillis,
                multiple,
                windowMillis,
                units,
                deferredShare,
                deferIntervalMillis,
                dataFolder);
    }

    /** Returns the warm capacity in units per second; infinity without service times. */
    public double unitsPerSecond() {
        double cost = (readCostMillis + writeCostMillis) / 2;
        return cost > 0 ? slots * 1000 / cost : Double.POSITIVE_INFINITY;
    }
}
