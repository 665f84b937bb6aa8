import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Usual clients write values of 64 KiB while other clients stop in the middle of such a command and stay. Each request
 * of a usual client has to get its final answer.
 */
public final class Case2 {
    private static final String HOST = "127.0.0.1";
    private static final int MEMORY_MB = 192;
    private static final int SOCKETS = 1024;
    private static final int USUAL_CLIENTS = 6;
    private static final double PAUSE_MILLIS = 100;
    private static final int DEADLINE_MILLIS = 4000;

    /** A request later than this after its deadline, or never answered, is lost. */
    private static final double LATE_MILLIS = 500 + 50;

    private static final int STALLED_CLIENTS = 300;
    private static final int STALLED_BYTES = 40_000;
    private static final double TROUBLE_MILLIS = 10_000;

    private final Rig.Record record;
    private final boolean trouble;
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger resent = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private volatile boolean ended;
    private int port;

    private Case2(Rig.Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] args) throws Exception {
        Path here = Path.of(args[0]);
        Path dir = Rig.tempDir();
        int status;
        try (Rig.Record record = new Rig.Record(here.resolve("record.txt"))) {
            status = new Case2(record, !args[1].equals("0")).run(here.getParent().getParent(), dir);
        }
        System.exit(status == 1 ? 10 : status);
    }

    private int run(Path root, Path dir) throws Exception {
        Rig.Store first = new Rig.Store(HOST, "s-0", 0, record);
        Rig.Store second = new Rig.Store(HOST, "s-1", 1, record);
        String members =
                Rig.member("s-0", first.address(), 0, "SERVING")
                        + ","
                        + Rig.member("s-1", second.address(), 1, "SERVING");
        Rig.Discovery discovery = new Rig.Discovery(HOST, members, record);
        port = Rig.freePort(HOST);
        String classes =
                Rig.trafficClass("read", "retryable", 500, 2500)
                        + ","
                        + Rig.trafficClass("new-write", "retryable", 800, DEADLINE_MILLIS)
                        + ","
                        + Rig.trafficClass("bulk-read", "retryable", 2500, 7500);
        String config =
                Rig.config(
                        HOST + ":" + port,
                        discovery.address(),
                        members,
                        MEMORY_MB,
                        SOCKETS,
                        2,
                        classes,
                        "false,true,false",
                        "");
        try (Rig.Gateway gateway = new Rig.Gateway(root, dir, HOST, port, config, record)) {
            if (!gateway.awaitReady(30_000)) {
                record.line("the gateway does not start");
                return 2;
            }
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < USUAL_CLIENTS; i++) {
                int number = i;
                clients.add(Rig.start(() -> usualClient(number)));
            }
            Rig.sleep(3000);
            record.line("before the trouble: answered %d, served %d, lost %d", answered.get(), served.get(), lost.get());
            if (trouble) {
                stalledClients();
            }
            Rig.sleep(TROUBLE_MILLIS);
            ended = true;
            for (Thread client : clients) {
                client.join();
            }
            boolean alive = gateway.process.isAlive();
            record.line(
                    "answered %d (served %d), sent again after a close %d, lost %d, gateway alive %b, commands at the stores %d",
                    answered.get(),
                    served.get(),
                    resent.get(),
                    lost.get(),
                    alive,
                    first.commands.get() + second.commands.get());
            if (answered.get() < 100) {
                return 2;
            }
            return lost.get() > 0 || !alive ? 1 : 0;
        }
    }

    /**
     * Writes one value at a time on one connection. If that ends without an answer, the request is sent once more on a new
     * connection, as a client does whose request crossed a close.
     */
    private void usualClient(int number) {
        Rig.Conn conn = null;
        for (long i = 1; !ended; i++) {
            long id = (number + 1) * 1_000_000L + i;
            byte[] body = new byte[65_536];
            Arrays.fill(body, (byte) ('a' + number));
            byte[] command = Rig.write(id, id, Rig.fields("new-write", DEADLINE_MILLIS, (int) (id % 2)), body);
            String failure = null;
            double sentAt = 0;
            for (int sending = 0; sending < 2; sending++) {
                sentAt = Rig.now();
                boolean written = false;
                try {
                    if (conn == null) {
                        conn = new Rig.Conn(HOST, port);
                    }
                    conn.timeout(sentAt + DEADLINE_MILLIS + LATE_MILLIS - Rig.now());
                    record.line("send %s", Rig.hex(id));
                    conn.write(command);
                    written = true;
                    Rig.Reply reply = conn.readReply();
                    record.line("answer to %s: %s", Rig.hex(id), reply.describe());
                    failure = null;
                    answered.incrementAndGet();
                    if (reply.isServed()) {
                        served.incrementAndGet();
                    }
                    break;
                } catch (IOException ended) {
                    failure = String.valueOf(ended.getMessage());
                    record.line("request %s, sending %d: %s", Rig.hex(id), sending + 1, failure);
                    if (conn != null) {
                        conn.close();
                        conn = null;
                    }
                    if (!written && sending == 0) {
                        failure = null; // the gateway has not taken it
                        break;
                    }
                    if (written && ended instanceof SocketTimeoutException) {
                        break; // its time is over
                    }
                    if (sending == 0) {
                        resent.incrementAndGet();
                    } else if (!written) {
                        failure = null;
                    }
                }
            }
            if (failure != null) {
                lost.incrementAndGet();
                record.line("LOST request %s: no answer after %.0f ms (%s)", Rig.hex(id), Rig.now() - sentAt, failure);
            }
            Rig.sleep(PAUSE_MILLIS);
        }
        if (conn != null) {
            conn.close();
        }
    }

    /**
     * Each stalled client sends the first part of a write, stays, and reads until the gateway ends its connection; then it
     * does so again.
     */
    private void stalledClients() {
        byte[] command =
                Rig.write(5, 77, Rig.fields("new-write", DEADLINE_MILLIS, 0), new byte[65_536]);
        byte[] part = Arrays.copyOf(command, STALLED_BYTES);
        record.line("%d clients stop after %d of %d bytes of a command", STALLED_CLIENTS, part.length, command.length);
        for (int i = 0; i < STALLED_CLIENTS; i++) {
            int number = i;
            Rig.start(
                    () -> {
                        while (!ended) {
                            double connectedAt = Rig.now();
                            String end = "closed";
                            try (Rig.Conn conn = new Rig.Conn(HOST, port)) {
                                conn.write(part);
                                while (conn.in.read() >= 0) {}
                            } catch (IOException reset) {
                                end = reset.getMessage();
                            }
                            if (number % 50 == 0) {
                                record.line("stalled client %d: %s after %.0f ms", number, end, Rig.now() - connectedAt);
                            }
                            Rig.sleep(100);
                        }
                    });
        }
    }
}
