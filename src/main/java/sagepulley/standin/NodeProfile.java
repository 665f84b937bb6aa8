package sagepulley.standin;

import java.nio.file.Path;

/**
 * What a stand-in node is like.
 *
 * @param id its number in the endpoint list
 * @param cell the cell whose extents it holds
 * @param zone its zone's place in the site's list
 * @param kind its kind's place in the site's list
 * @param slots operations at once
 * @param readCostMillis milliseconds of one slot for a unit read
 * @param writeCostMillis milliseconds of one slot for a unit written
 * @param queueLimit operations that may wait
 * @param extentBytes the size of an extent
 * @param slowStartShare the share of its capacity that it has right after a start, 0 to 1
 * @param slowStartMillis how long it takes to reach all of its capacity
 * @param overloadMultiple how many times its present capacity it bears during its slow start
 * @param overloadWindowMillis the time over which that load is counted
 * @param slowStartUnits units within that time that it bears in any case
 * @param deferredShare the share of each write's cost that it puts off, 0 to 1
 * @param deferIntervalMillis how often it does what it has put off, in one go
 * @param dataFolder where it keeps data in files; null for memory
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

    /** A quick node in memory: no cost, four slots, a queue of 256. */
    public static NodeProfile zeroCost(int id, int extentBytes) {
        return new NodeProfile(
                id, id, 0, 0, 4, 0, 0, 256, extentBytes, 0.25, 10_000, 2, 2_000, 8, 0, 1_000, null);
    }

    /** The same with costs for each unit, in milliseconds of one slot. */
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

    /** The same in another zone. */
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

    /** The same with another slow start; the arguments are as the components of those names. */
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

    /** Units a second when warm; infinity without costs. */
    public double unitsPerSecond() {
        double cost = (readCostMillis + writeCostMillis) / 2;
        return cost > 0 ? slots * 1000 / cost : Double.POSITIVE_INFINITY;
    }
}
