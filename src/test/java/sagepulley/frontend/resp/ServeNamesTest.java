package sagepulley.frontend.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sagepulley.codec.resp.Resp;
import sagepulley.lifecycle.WarmUpConfig;
import sagepulley.model.Attempt;
import sagepulley.model.Deployment;
import sagepulley.model.Node;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;
import sagepulley.model.Reason;
import sagepulley.model.TrafficClass;
import sagepulley.upstream.resp.EndpointReply;

/** Pins the names that 'serve' uses on the wire and in its log, and the command that starts it. */
class ServeNamesTest {
    private static final String FIELDS =
            "c=get,t=any,d=900,volume=0000000000000007,units=1,shard=0,hosts=3,r=1";

    private static BlockCommand command(String name, String fields, String... values)
            throws Exception {
        Deployment deployment = WarmUpConfig.at(null, null, null).deployment();
        List<byte[]> arguments = new ArrayList<>();
        for (String argument : List.of(name, "000000000000000a", "000000000000000b", fields)) {
            arguments.add(argument.getBytes(StandardCharsets.US_ASCII));
        }
        for (String argument : values) {
            arguments.add(argument.getBytes(StandardCharsets.US_ASCII));
        }
        return BlockCommand.parse(arguments, deployment);
    }

    @Test
    void commandFieldsAreParsedAndDeadlineIsReplaced() throws Exception {
        BlockCommand read = command("BLK.READ", FIELDS);
        assertEquals(10, read.extent);
        assertEquals(11, read.id);
        assertEquals("get", read.trafficClass.name());
        assertEquals("any", read.plan.name());
        assertEquals(900, read.deadlineMillis);
        assertEquals(7, read.volume);
        assertEquals(1, read.units);
        assertEquals(0, read.shard);
        assertEquals(3, read.gatewayCount);
        assertTrue(read.clientRetry);
        assertEquals(
                "put", command("BLK.WRITE", FIELDS.replace("get", "put"), "x").trafficClass.name());
        assertEquals(
                FIELDS.replace("d=900", "d=42"),
                new String(read.withTimeout(42).get(3), StandardCharsets.US_ASCII));
    }

    @Test
    void usageAndLoadReportOfAnErrorReplyAreRecorded() throws Exception {
        TrafficClass trafficClass =
                WarmUpConfig.at(null, null, null).deployment().trafficClasses().get(0);
        Operation operation = new Operation(1, trafficClass, null, 0, 1, 0, 0, 900, false);
        Attempt attempt = new Attempt(operation, new Node(1), 0, 0);
        EndpointReply.recordIn(
                attempt, new Resp.Line('-', "BUSY used=5 cost=6 queue=7"), List.of("queue"));
        assertEquals(5, attempt.planUsagePercent);
        assertEquals(6, attempt.otherGatewaysUnits);
        assertEquals(7, attempt.report[0]);
    }

    @Test
    void countersAreFormattedByName() throws Exception {
        GatewayMetrics metrics = new GatewayMetrics();
        TrafficClass trafficClass =
                WarmUpConfig.at(null, null, null).deployment().trafficClasses().get(0);
        for (Outcome outcome : Outcome.values()) {
            metrics.onAttemptEnded(outcome, new Node(1));
        }
        Map<Reason, Integer> waiting = new EnumMap<>(Reason.class);
        for (Reason reason : Reason.values()) {
            waiting.put(reason, 1);
        }
        metrics.addWaiting(waiting);
        metrics.onUnserved(trafficClass, Reason.OBJECTIVE_MISSED);
        assertEquals(
                "accepted=0 within-objective=0 beyond-objective=0 cancelled=0 invalid=0"
                        + " rejected-at-capacity=0 attempts=0 outcomes={SERVED=1,"
                        + " FAILED=1, REJECTED=1, TIMED_OUT=1, NO_CONNECTION=1, RESET=1,"
                        + " CANCELLED=1, NOT_EXECUTED=1} unserved={get/OBJECTIVE_MISSED=1}"
                        + " waiting={NONE=1, RESERVATION_FULL=1, SHARE_FULL=1, EXCESS_FULL=1,"
                        + " QUEUE_AT_NODE=1, WARMING_UP=1, UNRESPONSIVE=1, NOT_READY=1,"
                        + " NO_NODE=1, NO_LEASE=1, LIMIT=1, RETRY_BUDGET=1, KEY_ORDER=1,"
                        + " LOWER_PRIORITY=1, OBJECTIVE_MISSED=1, DEADLINE=1, NO_RETRY=1,"
                        + " MAY_HAVE_EXECUTED=1}",
                metrics.toString());
    }

    /** pom.xml and GatewayProcess depend on this main class and command. */
    @Test
    void programIsStartedBySagepulleyMainServe() throws Exception {
        ProcessBuilder builder =
                new ProcessBuilder(
                        System.getProperty("java.home") + "/bin/java",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "sagepulley.Main",
                        "serve");
        builder.environment().remove("GW_CONFIG");
        Process process = builder.redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(1, process.waitFor(), output);
        assertTrue(output.contains("sagepulley: GW_CONFIG is not set"), output);
    }
}
