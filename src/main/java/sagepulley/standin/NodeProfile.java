package sagepulley.standin;

import java.nio.file.Path;

/**
 * What a stand-in node is like. Costs are milliseconds of one slot for a unit; shares are 0 to 1; a
 * write's deferred share is done in one go each deferEvery milliseconds. The data path is null for
 * memory.
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
    public static NodeProfile quick(int id, int extentBytes) {
        return new NodeProfile(
                id, id, 0, 0, 4, 0, 0, 256, extentBytes, 0.25, 10_000, 2, 2_000, 8, 0, 1_000, null);
    }

    /** The same with costs for each unit. */
    public NodeProfile withCost(double read, double write) {
        return new NodeProfile(
                id,
                cell,
                zone,
                kind,
                slots,
                read,
                write,
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

    public NodeProfile withData(Path folder) {
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
                slowStartShare,
                slowStartMillis,
                overloadMultiple,
                overloadWindowMillis,
                slowStartUnits,
                deferredShare,
                deferIntervalMillis,
                folder);
    }

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
