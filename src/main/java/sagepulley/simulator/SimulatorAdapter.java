package sagepulley.simulator;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagepulley.config.settings.MissingSettingException;
import sagepulley.config.settings.SettingsReader;
import sagepulley.engine.EndpointEntry;
import sagepulley.model.Attempt;
import sagepulley.model.Deployment;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;
import sagepulley.model.TrafficClass;
import sagepulley.model.Volume;

/**
 * Speaks the simulator's wire: hands each event to its instance and writes the actions of each
 * batch.
 */
public final class SimulatorAdapter {
    private static final double NS = 1e6;
    private static final int POOLS = 16;
    private static final int BUFFER = 1 << 16;

    private final EventBatch batch;
    private final OutputStream out;
    private final Map<Integer, SimulatedGateway> gateways = new HashMap<>();

    /** The instances with an event in this batch. */
    private final List<SimulatedGateway> called = new ArrayList<>();

    private final List<List<EndpointEntry>> pools = new ArrayList<>();

    /** The replies of the instances with an event in this batch, in the order of their first. */
    private final List<ReplyWriter> replies = new ArrayList<>();

    private final Map<Integer, ReplyWriter> replyOf = new HashMap<>();

    public SimulatorAdapter(InputStream in, OutputStream out) {
        this.batch = new EventBatch(new BufferedInputStream(in, BUFFER));
        this.out = new BufferedOutputStream(out, BUFFER);
        for (int i = 0; i < POOLS; i++) {
            pools.add(null);
        }
    }

    /** Answers batch after batch until the input ends. */
    public void run() throws IOException {
        while (batch.read()) {
            long nowNs = batch.clock();
            double now = nowNs / NS;
            for (int record = 0; record < batch.records(); record++) {
                event(record, now);
            }
            for (SimulatedGateway gateway : called) {
                if (gateway.called) {
                    gateway.called = false;
                    gateway.settle(now, nowNs);
                }
            }
            called.clear();
            write();
        }
        out.flush();
    }

    private void event(int record, double now) throws MalformedFrameException {
        int code = batch.u8(record, 0);
        switch (code) {
            case 5 -> up(record);
            case 8 -> pool(record);
            case 9 -> stop(record);
            case 1, 2, 3, 4, 6, 7, 10, 11 -> {
                SimulatedGateway gateway = gateways.get(batch.u32(record, 1));
                if (gateway != null) {
                    call(gateway);
                    told(gateway, code, record, now);
                }
            }
            default -> throw batch.badRecord(record, "unknown event code " + code);
        }
    }

    private void told(SimulatedGateway gateway, int code, int record, double now)
            throws MalformedFrameException {
        switch (code) {
            case 1 ->
                    gateway.engine.onHealthCheck(
                            batch.u32(record, 5),
                            outcome(record, 9),
                            batch.u64(record, 11) / NS,
                            report(record, 19),
                            now);
            case 4 -> topology(gateway, record, now);
            case 6 -> gateway.engine.onArrival(operation(gateway, record, now));
            case 7 -> gateway.engine.onClientCancelled(batch.u64(record, 5), now);
            case 10 -> gateway.timer(batch.u64(record, 5));
            case 11 -> completed(gateway, record, now);
            default -> {} // streams and messages of peers: nothing is decided by them
        }
    }

    private void up(int record) throws MalformedFrameException {
        int who = batch.u32(record, 1);
        ReplyWriter reply = replyOf.computeIfAbsent(who, ReplyWriter::new);
        noteReply(reply);
        try {
            Deployment deployment = SettingsReader.ofLines(batch.text(record, 13)).deployment();
            SimulatedGateway gateway =
                    new SimulatedGateway(reply, deployment, batch.u64(record, 5));
            gateways.put(who, gateway);
            call(gateway);
        } catch (MissingSettingException missing) {
            gateways.remove(who);
            reply.fatal("first message: " + missing.getMessage());
        }
    }

    /** A stopped instance acts no more, not even by what it answered earlier in this batch. */
    private void stop(int record) {
        SimulatedGateway gateway = gateways.remove(batch.u32(record, 1));
        if (gateway != null) {
            gateway.called = false;
            called.remove(gateway);
            gateway.reply.clear();
        }
    }

    private void call(SimulatedGateway gateway) {
        if (!gateway.called) {
            gateway.called = true;
            called.add(gateway);
            noteReply(gateway.reply);
        }
    }

    private void noteReply(ReplyWriter reply) {
        if (!replies.contains(reply)) {
            replies.add(reply);
        }
    }

    private void pool(int record) throws MalformedFrameException {
        int table = batch.u8(record, 1);
        if (table >= POOLS) {
            throw batch.badRecord(record, "list number " + table + " is out of range");
        }
        int start = batch.tail(record, 2, EventBatch.ENTRY);
        int count = batch.u32(record, 6);
        ByteBuffer from = ByteBuffer.wrap(batch.copy(start, count * EventBatch.ENTRY));
        List<EndpointEntry> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            EndpointEntry entry = entry(from);
            if (entry == null) {
                throw batch.badRecord(record, "entry " + i + " has an unknown phase");
            }
            entries.add(entry);
        }
        pools.set(table, entries);
    }

    /** Reads an entry; null if its phase is unknown. */
    private static EndpointEntry entry(ByteBuffer from) {
        int zone = from.getShort() & 0xffff;
        int cell = from.getShort() & 0xffff;
        int store = from.getInt();
        int phaseCode = from.get();
        long started = from.getLong();
        int kind = from.get() & 0xff;
        float weight = from.getFloat();
        if (phaseCode < 0 || phaseCode > 2) {
            return null;
        }
        Node.Phase phase =
                switch (phaseCode) {
                    case 1 -> Node.Phase.READY;
                    case 2 -> Node.Phase.DRAINING;
                    default -> Node.Phase.REMOVED;
                };
        return new EndpointEntry(
                zone,
                cell,
                store,
                phase,
                started == 0 ? Double.NEGATIVE_INFINITY : started / 1e6,
                kind,
                weight);
    }

    private void topology(SimulatedGateway gateway, int record, double now)
            throws MalformedFrameException {
        int scope = batch.u8(record, 5);
        switch (scope) {
            case 0 -> gateway.engine.onPollFailed(now);
            case 1, 3, 4 -> {
                int table = batch.u8(record, 6);
                if (table >= POOLS || pools.get(table) == null) {
                    throw batch.badRecord(record, "list number " + table + " was never set up");
                }
                gateway.engine.onEndpointList(pools.get(table), scope != 3, now);
            }
            default -> throw batch.badRecord(record, "unknown list scope " + scope);
        }
    }

    private Operation operation(SimulatedGateway gateway, int record, double now)
            throws MalformedFrameException {
        int grade = batch.u8(record, 13);
        List<TrafficClass> bands = gateway.engine.deployment().trafficClasses();
        if (grade >= bands.size()) {
            throw batch.badRecord(
                    record, "class " + grade + " of " + bands.size() + " is out of range");
        }
        long plan = Integer.toUnsignedLong(batch.u32(record, 14));
        if (plan >= gateway.engine.deployment().plans().size()) {
            throw batch.badRecord(
                    record,
                    "plan "
                            + plan
                            + " of "
                            + gateway.engine.deployment().plans().size()
                            + " is out of range");
        }
        Volume volume = gateway.engine.volume(batch.u64(record, 34), (int) plan);
        volume.gatewayCount = Math.max(1, (int) batch.f32(record, 50));
        return new Operation(
                batch.u64(record, 5),
                bands.get(grade),
                volume,
                batch.u64(record, 18),
                batch.f32(record, 42),
                (int) batch.f32(record, 46),
                now,
                batch.u64(record, 26) / NS,
                (batch.u8(record, 54) & 2) != 0);
    }

    private void completed(SimulatedGateway gateway, int record, double now)
            throws MalformedFrameException {
        Outcome outcome = outcome(record, 18);
        Attempt attempt = gateway.engine.attempt(batch.u64(record, 5), batch.u8(record, 13));
        if (attempt == null || attempt.outcome != null) {
            return;
        }
        attempt.outcome = outcome;
        attempt.duration = batch.u64(record, 20) / NS;
        int used = batch.u16(record, 29);
        attempt.planUsagePercent = used == 0 ? Double.NaN : used - 1;
        attempt.otherGatewaysUnits = batch.u16(record, 31);
        attempt.report = report(record, 33);
        gateway.engine.onAttemptEnded(attempt, batch.u8(record, 28) != 0, now);
    }

    private Outcome outcome(int record, int at) throws MalformedFrameException {
        int code = batch.u16(record, at);
        return switch (code) {
            case 200 -> Outcome.SERVED;
            case 500 -> Outcome.FAILED;
            case 503 -> Outcome.REJECTED;
            case 504 -> Outcome.TIMED_OUT;
            case 502 -> Outcome.NO_CONNECTION;
            case 598 -> Outcome.RESET;
            case 499 -> Outcome.CANCELLED;
            case 410 -> Outcome.NOT_EXECUTED;
            default -> throw batch.badRecord(record, "unknown outcome " + code);
        };
    }

    private double[] report(int record, int at) throws MalformedFrameException {
        int count = batch.u8(record, at);
        if (count == 0) {
            return null;
        }
        if (count > 4) {
            throw batch.badRecord(record, "a load report of " + count + " values");
        }
        double[] values = new double[count];
        for (int i = 0; i < count; i++) {
            values[i] = batch.f32(record, at + 1 + 4 * i);
        }
        return values;
    }

    private void write() throws IOException {
        int records = 0;
        int tail = 0;
        for (ReplyWriter reply : replies) {
            records += reply.records().position() / ReplyWriter.RECORD;
            if (reply.fatalText() != null) {
                ByteBuffer last = reply.records();
                byte[] text = reply.fatalBytes();
                last.putInt(last.position() - ReplyWriter.RECORD + 5, tail);
                last.putInt(last.position() - ReplyWriter.RECORD + 9, text.length);
                tail += text.length;
            }
        }
        ByteBuffer head = ByteBuffer.allocate(12);
        head.putInt(batch.number()).putInt(4 + records * ReplyWriter.RECORD + tail).putInt(records);
        out.write(head.array());
        for (ReplyWriter reply : replies) {
            out.write(reply.records().array(), 0, reply.records().position());
        }
        for (ReplyWriter reply : replies) {
            if (reply.fatalText() != null) {
                out.write(reply.fatalBytes());
            }
            reply.clear();
        }
        replies.clear();
        out.flush();
    }
}
