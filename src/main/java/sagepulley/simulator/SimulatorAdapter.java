package sagepulley.simulator;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagepulley.config.settings.InvalidSettingException;
import sagepulley.config.settings.SettingsReader;
import sagepulley.engine.EndpointEntry;
import sagepulley.engine.GatewayEngine;
import sagepulley.model.Attempt;
import sagepulley.model.Deployment;
import sagepulley.model.Outcome;

/**
 * Implements the simulator's protocol: dispatches each event to its gateway, and writes the
 * decisions of each batch. The protocol's times are nanoseconds.
 */
public final class SimulatorAdapter {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int MAX_LIST_TABLES = 16;
    private static final int BUFFER_BYTES = 1 << 16;
    private static final int REPLY_HEADER_BYTES = 12;

    /** Offset in a fatal record of the position of its text. */
    private static final int FATAL_OFFSET = 5;

    // Scopes of an endpoint list event.
    private static final int POLL_FAILED = 0;
    private static final int COMPLETE_LIST = 1;
    private static final int LIST_UPDATE = 3;
    private static final int OTHER_COMPLETE_LIST = 4;

    private final EventBatch batch;
    private final EventDecoder decoder;
    private final OutputStream out;
    private final Map<Integer, SimulatedGateway> gateways = new HashMap<>();

    /** The gateways with an event in this batch, in the order of their first event. */
    private final List<SimulatedGateway> activeGateways = new ArrayList<>();

    /** Endpoint lists by the table number that events refer to; null if not set. */
    private final List<List<EndpointEntry>> listTables =
            new ArrayList<>(Collections.nCopies(MAX_LIST_TABLES, null));

    /** The replies to this batch, in the order of their gateways' first event. */
    private final List<ReplyWriter> replies = new ArrayList<>();

    private final Map<Integer, ReplyWriter> replyWriters = new HashMap<>();

    /** Creates an adapter between two streams, neither of which it closes. */
    public SimulatorAdapter(InputStream in, OutputStream out) {
        this.batch = new EventBatch(new BufferedInputStream(in, BUFFER_BYTES));
        this.decoder = new EventDecoder(batch);
        this.out = new BufferedOutputStream(out, BUFFER_BYTES);
    }

    /**
     * Processes batches until the input ends.
     *
     * @throws MalformedFrameException if the input is not a valid batch of the protocol
     * @throws IOException if a stream fails
     */
    public void run() throws IOException {
        while (batch.read()) {
            long nowNanos = batch.clock();
            double now = nowNanos / NANOS_PER_MILLI;
            for (int record = 0; record < batch.records(); record++) {
                handle(record, now);
            }
            for (SimulatedGateway gateway : activeGateways) {
                if (gateway.hasEvents) {
                    gateway.hasEvents = false;
                    gateway.runDueWork(now, nowNanos);
                }
            }
            activeGateways.clear();
            write();
        }
        out.flush();
    }

    private void handle(int record, double now) throws MalformedFrameException {
        int code = batch.u8(record, 0);
        switch (code) {
            case EventCode.GATEWAY_STARTED -> start(record);
            case EventCode.GATEWAY_STOPPED -> stop(record);
            case EventCode.LIST_TABLE -> setListTable(record);
            case EventCode.HEALTH_CHECK_ENDED,
                    EventCode.STREAM,
                    EventCode.PEER_MESSAGE,
                    EventCode.ENDPOINT_LIST,
                    EventCode.ARRIVAL,
                    EventCode.CLIENT_CANCELLED,
                    EventCode.TIMER,
                    EventCode.ATTEMPT_ENDED -> {
                SimulatedGateway gateway = gateways.get(batch.u32(record, 1));
                if (gateway != null) {
                    activate(gateway);
                    handle(gateway, code, record, now);
                }
            }
            default -> throw batch.malformedRecord(record, "unknown event code " + code);
        }
    }

    private void handle(SimulatedGateway gateway, int code, int record, double now)
            throws MalformedFrameException {
        GatewayEngine engine = gateway.engine;
        switch (code) {
            case EventCode.HEALTH_CHECK_ENDED ->
                    engine.onHealthCheck(
                            batch.u32(record, 5),
                            decoder.outcome(record, 9),
                            decoder.millis(record, 11),
                            decoder.report(record, 19),
                            now);
            case EventCode.ENDPOINT_LIST -> onEndpointList(engine, record, now);
            case EventCode.ARRIVAL -> engine.onArrival(decoder.operation(engine, record, now));
            case EventCode.CLIENT_CANCELLED -> engine.onClientCancelled(batch.u64(record, 5), now);
            case EventCode.TIMER -> gateway.onTimer(batch.u64(record, 5));
            case EventCode.ATTEMPT_ENDED -> onAttemptEnded(engine, record, now);
            default -> {} // stream and peer message events affect no decision
        }
    }

    private void start(int record) throws MalformedFrameException {
        int gatewayId = batch.u32(record, 1);
        ReplyWriter reply = replyWriters.computeIfAbsent(gatewayId, ReplyWriter::new);
        addReply(reply);
        try {
            Deployment deployment = SettingsReader.ofLines(batch.text(record, 13)).deployment();
            SimulatedGateway gateway =
                    new SimulatedGateway(reply, deployment, batch.u64(record, 5));
            gateways.put(gatewayId, gateway);
            activate(gateway);
        } catch (InvalidSettingException invalidSetting) {
            gateways.remove(gatewayId);
            reply.fatal("first message: " + invalidSetting.getMessage());
        }
    }

    /** Removes a stopped gateway and discards its decisions of this batch. */
    private void stop(int record) {
        SimulatedGateway gateway = gateways.remove(batch.u32(record, 1));
        if (gateway != null) {
            gateway.hasEvents = false;
            activeGateways.remove(gateway);
            gateway.reply.clear();
        }
    }

    private void activate(SimulatedGateway gateway) {
        if (!gateway.hasEvents) {
            gateway.hasEvents = true;
            activeGateways.add(gateway);
            addReply(gateway.reply);
        }
    }

    private void addReply(ReplyWriter reply) {
        if (!replies.contains(reply)) {
            replies.add(reply);
        }
    }

    private void setListTable(int record) throws MalformedFrameException {
        int table = batch.u8(record, 1);
        if (table >= MAX_LIST_TABLES) {
            throw batch.malformedRecord(
                    record,
                    "list table "
                            + table
                            + " is out of range, expected 0 to "
                            + (MAX_LIST_TABLES - 1));
        }
        listTables.set(table, decoder.endpointEntries(record, 2));
    }

    private void onEndpointList(GatewayEngine engine, int record, double now)
            throws MalformedFrameException {
        int scope = batch.u8(record, 5);
        switch (scope) {
            case POLL_FAILED -> engine.onPollFailed(now);
            case COMPLETE_LIST, LIST_UPDATE, OTHER_COMPLETE_LIST -> {
                int table = batch.u8(record, 6);
                if (table >= MAX_LIST_TABLES || listTables.get(table) == null) {
                    throw batch.malformedRecord(record, "list table " + table + " is not set");
                }
                engine.onEndpointList(listTables.get(table), scope != LIST_UPDATE, now);
            }
            default ->
                    throw batch.malformedRecord(
                            record, "unknown list scope " + scope + ", expected 0, 1, 3 or 4");
        }
    }

    private void onAttemptEnded(GatewayEngine engine, int record, double now)
            throws MalformedFrameException {
        Outcome outcome = decoder.outcome(record, 18);
        Attempt attempt = engine.attempt(batch.u64(record, 5), batch.u8(record, 13));
        if (attempt == null || attempt.outcome != null) {
            return;
        }
        attempt.outcome = outcome;
        attempt.duration = decoder.millis(record, 20);
        // The protocol adds 1 to the percentage; 0 means that it is absent.
        int usage = batch.u16(record, 29);
        attempt.planUsagePercent = usage == 0 ? Double.NaN : usage - 1;
        attempt.otherGatewaysUnits = batch.u16(record, 31);
        attempt.report = decoder.report(record, 33);
        engine.onAttemptEnded(attempt, batch.u8(record, 28) != 0, now);
    }

    /**
     * Writes the reply to a batch: the header, the records by gateway, and the texts of fatal
     * records.
     */
    private void write() throws IOException {
        int records = 0;
        int textBytes = 0;
        for (ReplyWriter reply : replies) {
            records += reply.records().position() / ReplyWriter.RECORD_BYTES;
            if (reply.fatalText() != null) {
                textBytes += placeFatalText(reply, textBytes);
            }
        }
        ByteBuffer header = ByteBuffer.allocate(REPLY_HEADER_BYTES);
        header.putInt(batch.number())
                .putInt(Integer.BYTES + records * ReplyWriter.RECORD_BYTES + textBytes)
                .putInt(records);
        out.write(header.array());
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

    /**
     * Writes the position of a reply's fatal text into its last record. Returns the text's length.
     */
    private static int placeFatalText(ReplyWriter reply, int textStart) {
        ByteBuffer records = reply.records();
        int length = reply.fatalBytes().length;
        int at = records.position() - ReplyWriter.RECORD_BYTES + FATAL_OFFSET;
        records.putInt(at, textStart).putInt(at + Integer.BYTES, length);
        return length;
    }
}
