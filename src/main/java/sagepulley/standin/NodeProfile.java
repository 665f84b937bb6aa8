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
        double readCost,
        double writeCost,
        int queue,
        int extentBytes,
        double coldShare,
        double coldTime,
        double fallMultiple,
        double fallTime,
        double coldUnits,
        double deferredShare,
        double deferEvery,
        Path data) {

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
                queue,
                extentBytes,
                coldShare,
                coldTime,
                fallMultiple,
                fallTime,
                coldUnits,
                deferredShare,
                deferEvery,
                data);
    }

    public NodeProfile withZone(int where) {
        return new NodeProfile(
                id,
                cell,
                where,
                kind,
                slots,
                readCost,
                writeCost,
                queue,
                extentBytes,
                coldShare,
                coldTime,
                fallMultiple,
                fallTime,
                coldUnits,
                deferredShare,
                deferEvery,
                data);
    }

    public NodeProfile withData(Path folder) {
        return new NodeProfile(
                id,
                cell,
                zone,
                kind,
                slots,
                readCost,
                writeCost,
                queue,
                extentBytes,
                coldShare,
                coldTime,
                fallMultiple,
                fallTime,
                coldUnits,
                deferredShare,
                deferEvery,
                folder);
    }

    public NodeProfile withCold(
            double share, double time, double multiple, double fall, double units) {
        return new NodeProfile(
                id,
                cell,
                zone,
                kind,
                slots,
                readCost,
                writeCost,
                queue,
                extentBytes,
                share,
                time,
                multiple,
                fall,
                units,
                deferredShare,
                deferEvery,
                data);
    }

    /** Units a second when warm; infinity without costs. */
    public double unitsPerSecond() {
        double cost = (readCost + writeCost) / 2;
        return cost > 0 ? slots * 1000 / cost : Double.POSITIVE_INFINITY;
    }
}
