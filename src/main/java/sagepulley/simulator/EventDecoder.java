package sagepulley.simulator;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import sagepulley.engine.EndpointEntry;
import sagepulley.engine.GatewayEngine;
import sagepulley.model.Deployment;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;
import sagepulley.model.TrafficClass;
import sagepulley.model.Volume;

/** Decodes event records into model types. Offsets count from the start of a record. */
final class EventDecoder {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int CLIENT_RETRY_FLAG = 2;
    private static final int MAX_REPORT_VALUES = 4;
    private static final int READY = 1;
    private static final int DRAINING = 2;

    private final EventBatch batch;

    EventDecoder(EventBatch batch) {
        this.batch = batch;
    }

    /** Returns the endpoint list entries whose position in the tail is at an offset. */
    List<EndpointEntry> endpointEntries(int record, int offset) throws MalformedFrameException {
        int start = batch.tailPosition(record, offset, EventBatch.ENTRY_BYTES);
        int count = batch.u32(record, offset + 4);
        ByteBuffer buffer = ByteBuffer.wrap(batch.copy(start, count * EventBatch.ENTRY_BYTES));
        List<EndpointEntry> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            EndpointEntry entry = endpointEntry(buffer);
            if (entry == null) {
                throw batch.malformedRecord(record, "entry " + i + " has an unknown phase");
            }
            entries.add(entry);
        }
        return entries;
    }

    /** Decodes an entry; returns null if its phase is unknown. */
    private static EndpointEntry endpointEntry(ByteBuffer buffer) {
        int zone = buffer.getShort() & 0xffff;
        int cell = buffer.getShort() & 0xffff;
        int node = buffer.getInt();
        int phaseCode = buffer.get();
        long startedAtNanos = buffer.getLong();
        int kind = buffer.get() & 0xff;
        float weight = buffer.getFloat();
        if (phaseCode < 0 || phaseCode > DRAINING) {
            return null;
        }
        Node.Phase phase =
                switch (phaseCode) {
                    case READY -> Node.Phase.READY;
                    case DRAINING -> Node.Phase.DRAINING;
                    default -> Node.Phase.REMOVED;
                };
        double startedAt =
                startedAtNanos == 0 ? Double.NEGATIVE_INFINITY : startedAtNanos / NANOS_PER_MILLI;
        return new EndpointEntry(zone, cell, node, phase, startedAt, kind, weight);
    }

    /** Returns the operation of an arrival event. */
    Operation operation(GatewayEngine engine, int record, double now)
            throws MalformedFrameException {
        Deployment deployment = engine.deployment();
        int classIndex = batch.u8(record, 13);
        List<TrafficClass> classes = deployment.trafficClasses();
        if (classIndex >= classes.size()) {
            throw batch.malformedRecord(
                    record,
                    "traffic class "
                            + classIndex
                            + " is out of range, the gateway has "
                            + classes.size());
        }
        long plan = Integer.toUnsignedLong(batch.u32(record, 14));
        int planCount = deployment.plans().size();
        if (plan >= planCount) {
            throw batch.malformedRecord(
                    record,
                    "tenant plan " + plan + " is out of range, the gateway has " + planCount);
        }
        Volume volume = engine.volume(batch.u64(record, 34), (int) plan);
        volume.gatewayCount = Math.max(1, (int) batch.f32(record, 50));
        return new Operation(
                batch.u64(record, 5),
                classes.get(classIndex),
                volume,
                batch.u64(record, 18),
                batch.f32(record, 42),
                (int) batch.f32(record, 46),
                now,
                millis(record, 26),
                (batch.u8(record, 54) & CLIENT_RETRY_FLAG) != 0);
    }

    /** Returns the time at an offset, converted from nanoseconds to milliseconds. */
    double millis(int record, int offset) {
        return batch.u64(record, offset) / NANOS_PER_MILLI;
    }

    /** Returns the outcome whose code is at an offset. */
    Outcome outcome(int record, int offset) throws MalformedFrameException {
        int code = batch.u16(record, offset);
        return switch (code) {
            case 200 -> Outcome.SERVED;
            case 410 -> Outcome.NOT_EXECUTED;
            case 499 -> Outcome.CANCELLED;
            case 500 -> Outcome.FAILED;
            case 502 -> Outcome.NO_CONNECTION;
            case 503 -> Outcome.REJECTED;
            case 504 -> Outcome.TIMED_OUT;
            case 598 -> Outcome.RESET;
            default -> throw batch.malformedRecord(record, "unknown outcome code " + code);
        };
    }

    /** Returns the load report at an offset; null if it has no values. */
    double[] report(int record, int offset) throws MalformedFrameException {
        int count = batch.u8(record, offset);
        if (count == 0) {
            return null;
        }
        if (count > MAX_REPORT_VALUES) {
            throw batch.malformedRecord(
                    record,
                    "load report has " + count + " values, expected at most " + MAX_REPORT_VALUES);
        }
        double[] values = new double[count];
        for (int i = 0; i < count; i++) {
            values[i] = batch.f32(record, offset + 1 + Float.BYTES * i);
        }
        return values;
    }
}
