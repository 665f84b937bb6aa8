import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A client has sent many commands at once on a connection when the gateway is restarted by plan. Each of them has to get its
 * final answer before the gateway ends the connection.
 */
public final class Case3 {
    private static final String HOST = "127.0.0.1";
    private static final int COMMANDS_AT_ONCE = 100;
    private static final int BODY_BYTES = 4096;
    private static final int WRITE_DEADLINE_MILLIS = 4000;
    private static final int BULK_DEADLINE_MILLIS = 7500;

    /** What the first command takes at its store; the class's target time is 2.5 s. */
    private static final double BULK_SERVICE_MILLIS = 2300;

    private static final double SENT_AFTER_SIGNAL_MILLIS = 1500;
    private static final double SERVICE_MILLIS = 10;

    /** SIGKILL comes no sooner than the longest deadline, taken as 3 s, and 0.7 s after SIGTERM. */
    private static final double KILL_MILLIS = 3700;

    private final Rig.Record record;
    private final boolean trouble;
    private int port;

    private Case3(Rig.Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] args) throws Exception {
        Path here = Path.of(args[0]);
        Path dir = Rig.tempDir();
        int status;
        try (Rig.Record record = new Rig.Record(here.resolve("record.txt"))) {
            status = new Case3(record, !args[1].equals("0")).run(here.getParent().getParent(), dir);
        }
        System.exit(status == 1 ? 10 : status);
    }

    private int run(Path root, Path dir) throws Exception {
        Rig.Store first = new TimedStore("s-0", 0);
        Rig.Store second = new TimedStore("s-1", 1);
        String members =
                Rig.member("s-0", first.address(), 0, "SERVING")
                        + ","
                        + Rig.member("s-1", second.address(), 1, "SERVING");
        Rig.Discovery discovery = new Rig.Discovery(HOST, members, record);
        port = Rig.freePort(HOST);
        String classes =
                Rig.trafficClass("read", "retryable", 500, 2500)
                        + ","
                        + Rig.trafficClass("new-write", "retryable", 800, WRITE_DEADLINE_MILLIS)
                        + ","
                        + Rig.trafficClass("bulk-read", "retryable", 2500, BULK_DEADLINE_MILLIS);
        String config =
                Rig.config(
                        HOST + ":" + port,
                        discovery.address(),
                        members,
                        192,
                        1024,
                        2,
                        classes,
                        "false,true,false",
                        "");
        try (Rig.Gateway gateway = new Rig.Gateway(root, dir, HOST, port, config, record)) {
            if (!gateway.awaitReady(30_000)) {
                record.line("the gateway does not start");
                return 2;
            }
            Rig.Conn conn = new Rig.Conn(HOST, port);
            if (!warmUp(conn)) {
                return 2;
            }
            double signalledAt = Rig.now();
            if (trouble) {
                gateway.signal("TERM");
            }
            Rig.sleep(SENT_AFTER_SIGNAL_MILLIS);
            double sentAt = Rig.now();
            List<Long> ids = sendCommands(conn);
            if (trouble) {
                Rig.start(() -> killLater(gateway, signalledAt));
            }
            Map<Long, String> answers = readAnswers(conn, ids, sentAt);
            List<Long> unanswered = new ArrayList<>(ids);
            unanswered.removeAll(answers.keySet());
            int resentAnswered = 0;
            for (long id : unanswered) {
                resentAnswered += sendOnceMore(id) ? 1 : 0;
            }
            boolean exited = gateway.process.waitFor(3, TimeUnit.SECONDS);
            int lost = unanswered.size() - resentAnswered;
            record.line(
                    "commands %d, answered %d, answered when sent once more %d, LOST %d; gateway %s; the stores ran %d and %d commands",
                    ids.size(),
                    answers.size(),
                    resentAnswered,
                    lost,
                    exited ? "exited with " + gateway.process.exitValue() : "runs",
                    first.commands.get(),
                    second.commands.get());
            return lost > 0 ? 1 : 0;
        }
    }

    private final class TimedStore extends Rig.Store {
        TimedStore(String id, int cell) throws IOException {
            super(HOST, id, cell, Case3.this.record);
        }

        @Override
        void onCommand(Rig.Conn conn, Rig.Reply command) throws IOException {
            boolean bulk = argument(command, 3).startsWith("c=bulk-read,");
            Rig.sleep(bulk ? BULK_SERVICE_MILLIS : SERVICE_MILLIS);
            answer(conn, command);
        }
    }

    private boolean warmUp(Rig.Conn conn) throws IOException {
        for (long id = 1; id <= 20; id++) {
            conn.write(Rig.read(id, id, Rig.fields("read", 2500, (int) (id % 2))));
            conn.timeout(3050);
            Rig.Reply reply = conn.readReply();
            if (!reply.isServed()) {
                record.line("request %s answered %s before the signal", Rig.hex(id), reply.describe());
                return false;
            }
            Rig.sleep(20);
        }
        record.line("20 reads served one after the other on the client's connection");
        return true;
    }

    private static byte[] command(long id) {
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'w');
        return Rig.write(id, id, Rig.fields("new-write", WRITE_DEADLINE_MILLIS, 1), body);
    }

    /** Sends one bulk read and then writes, all at once, on one connection. */
    private List<Long> sendCommands(Rig.Conn conn) throws IOException {
        ByteArrayOutputStream commands = new ByteArrayOutputStream();
        List<Long> ids = new ArrayList<>();
        for (long id = 1001; id <= 1000 + COMMANDS_AT_ONCE; id++) {
            ids.add(id);
            commands.writeBytes(
                    ids.size() == 1 ? Rig.read(id, id, Rig.fields("bulk-read", BULK_DEADLINE_MILLIS, 0)) : command(id));
        }
        conn.write(commands.toByteArray());
        record.line("%d commands are written to the connection, %d bytes", ids.size(), commands.size());
        return ids;
    }

    private Map<Long, String> readAnswers(Rig.Conn conn, List<Long> ids, double sentAt) {
        Map<Long, String> answers = new LinkedHashMap<>();
        try (conn) {
            for (long id : ids) {
                conn.timeout(sentAt + BULK_DEADLINE_MILLIS + 550 - Rig.now());
                Rig.Reply reply = conn.readReply();
                answers.put(id, reply.describe());
                record.line("request %s answered %s", Rig.hex(id), reply.describe());
            }
        } catch (IOException failure) {
            record.line("%s after %d answers, %.0f ms after the commands", failure.getMessage(), answers.size(), Rig.now() - sentAt);
        }
        return answers;
    }

    /** Sends a request once more on a new connection, as a client does whose request crossed the end of one. */
    private boolean sendOnceMore(long id) {
        try (Rig.Conn conn = new Rig.Conn(HOST, port)) {
            conn.timeout(WRITE_DEADLINE_MILLIS + 550);
            conn.write(command(id));
            Rig.Reply reply = conn.readReply();
            record.line("request %s, sent once more, answered %s", Rig.hex(id), reply.describe());
            return true;
        } catch (IOException failure) {
            record.line("request %s, sent once more: %s", Rig.hex(id), failure.getMessage());
            return false;
        }
    }

    private void killLater(Rig.Gateway gateway, double signalledAt) {
        Rig.sleep(signalledAt + KILL_MILLIS - Rig.now());
        if (gateway.process.isAlive()) {
            try {
                gateway.signal("KILL");
            } catch (IOException failure) {
                record.line("cannot kill the gateway: %s", failure.getMessage());
            }
        }
    }
}
