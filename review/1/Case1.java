import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients send several bulk reads at once on a connection, and one of eight stores hangs. Each request has to get its final
 * answer, also the requests of clients that send one at a time and never use the store that hangs.
 */
public final class Case1 {
    private static final String HOST = "127.0.0.1";
    private static final int MEMORY_MB = 192;
    private static final int SOCKETS = 1024;
    private static final int STORES = 8;

    /** Lengths of the values of bulk reads, by the request's number; other reads have short ones. */
    private static final int[] VALUE_BYTES = {65_000, 65_000, 65_000, 65_000, 65_000, 20_000, 5_000, 1_000};

    private static final double SERVICE_MILLIS = 10;

    private static final int PIPELINING_CLIENTS = 30;
    private static final int COMMANDS_AT_ONCE = 64;
    private static final double MILLIS_BETWEEN_BATCHES = 5000;
    private static final int BULK_DEADLINE_MILLIS = 7500;

    private static final int SINGLE_CLIENTS = 10;
    private static final double PAUSE_MILLIS = 50;
    private static final int READ_DEADLINE_MILLIS = 2500;

    /** A request later than this after its deadline, or never answered, is lost. */
    private static final double LATE_MILLIS = 500 + 50;

    private static final double HANG_MILLIS = 22_000;
    private static final double AFTER_MILLIS = 4_000;

    private final Rig.Record record;
    private final boolean trouble;
    private final AtomicLong lastId = new AtomicLong(1L << 40);
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger unserved = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger lostAfterwards = new AtomicInteger();
    private volatile boolean hangs;
    private volatile boolean hangOver;
    private volatile boolean ended;
    private int port;

    private Case1(Rig.Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] args) throws Exception {
        Path here = Path.of(args[0]);
        Path dir = Rig.tempDir();
        int status;
        try (Rig.Record record = new Rig.Record(here.resolve("record.txt"))) {
            status = new Case1(record, !args[1].equals("0")).run(here.getParent().getParent(), dir);
        }
        System.exit(status == 1 ? 10 : status);
    }

    private int run(Path root, Path dir) throws Exception {
        StringBuilder members = new StringBuilder();
        List<Rig.Store> stores = new ArrayList<>();
        for (int i = 0; i < STORES; i++) {
            Rig.Store store = new ReadStore("s-" + i, i);
            stores.add(store);
            members.append(i == 0 ? "" : ",").append(Rig.member(store.id, store.address(), i, "SERVING"));
        }
        Rig.Discovery discovery = new Rig.Discovery(HOST, members.toString(), record);
        port = Rig.freePort(HOST);
        String classes =
                Rig.trafficClass("read", "retryable", 500, READ_DEADLINE_MILLIS)
                        + ","
                        + Rig.trafficClass("new-write", "retryable", 800, 4000)
                        + ","
                        + Rig.trafficClass("bulk-read", "retryable", 2500, BULK_DEADLINE_MILLIS);
        String config =
                Rig.config(
                        HOST + ":" + port,
                        discovery.address(),
                        members.toString(),
                        MEMORY_MB,
                        SOCKETS,
                        STORES,
                        classes,
                        "false,true,false",
                        "");
        try (Rig.Gateway gateway = new Rig.Gateway(root, dir, HOST, port, config, record)) {
            if (!gateway.awaitReady(30_000)) {
                record.line("the gateway does not start");
                return 2;
            }
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < SINGLE_CLIENTS; i++) {
                clients.add(Rig.start(this::singleClient));
            }
            Rig.sleep(3000);
            record.line("before: served %d, declined or failed %d, lost %d", served.get(), unserved.get(), lost.get());
            int servedBefore = served.get();
            if (servedBefore < 50 || lost.get() > 0) {
                return 2;
            }
            if (trouble) {
                hangs = true;
                record.line("store s-0 hangs: it takes commands and answers none");
            }
            Rig.sleep(500);
            for (int i = 0; i < PIPELINING_CLIENTS; i++) {
                int number = i;
                clients.add(Rig.start(() -> pipeliningClient(number)));
            }
            record.line(
                    "%d clients send %d bulk reads at once, each %.0f ms once all are answered",
                    PIPELINING_CLIENTS, COMMANDS_AT_ONCE, MILLIS_BETWEEN_BATCHES);
            Rig.sleep(HANG_MILLIS);
            hangs = false;
            hangOver = true;
            record.line("the hang is over: served %d, declined or failed %d, lost %d", served.get(), unserved.get(), lost.get());
            Rig.sleep(AFTER_MILLIS);
            ended = true;
            for (Thread client : clients) {
                client.join();
            }
            boolean alive = gateway.process.isAlive();
            record.line(
                    "served %d, declined or failed %d, lost %d, of these %d sent after the hang; gateway alive %b",
                    served.get(), unserved.get(), lost.get(), lostAfterwards.get(), alive);
            for (Rig.Store store : stores) {
                record.line("store %s ran %d commands", store.id, store.commands.get());
            }
            return lost.get() > 0 || !alive ? 1 : 0;
        }
    }

    /** Answers each read with a long value; the first store hangs for a while. */
    private final class ReadStore extends Rig.Store {
        ReadStore(String id, int cell) throws IOException {
            super(HOST, id, cell, Case1.this.record);
        }

        @Override
        void onCommand(Rig.Conn conn, Rig.Reply command) throws IOException {
            boolean hung = cell == 0 && hangs;
            while (cell == 0 && hangs) {
                Rig.sleep(20);
            }
            if (hung) {
                return; // what it took while it hung is never answered
            }
            Rig.sleep(SERVICE_MILLIS);
            String value = valueFor(command);
            if (argument(command, 3).startsWith("c=bulk-read,")) {
                int length = VALUE_BYTES[(int) (Long.parseUnsignedLong(argument(command, 2), 16) % VALUE_BYTES.length)];
                value += " ".repeat(length - value.length());
            }
            answer(conn, command, value);
        }
    }

    /**
     * Sends one read at a time, to the stores that do not hang. If the connection ends without an answer, the request is sent
     * once more on a new one, as by a client whose request crossed a close.
     */
    private void singleClient() {
        Rig.Conn conn = null;
        while (!ended) {
            long id = lastId.incrementAndGet();
            boolean afterwards = hangOver;
            byte[] command = Rig.read(id, id, Rig.fields("read", READ_DEADLINE_MILLIS, 1 + (int) (id % (STORES - 1))));
            for (int sending = 1; sending <= 2; sending++) {
                boolean written = false;
                try {
                    if (conn == null) {
                        conn = new Rig.Conn(HOST, port);
                    }
                    conn.timeout(READ_DEADLINE_MILLIS + LATE_MILLIS);
                    record.line("send %s", Rig.hex(id));
                    conn.write(command);
                    written = true;
                    count(id, conn.readReply());
                    break;
                } catch (IOException failure) {
                    conn = close(conn);
                    if (!written) {
                        record.line("request %s was not taken: %s", Rig.hex(id), failure.getMessage());
                        break;
                    }
                    if (sending == 2 || failure instanceof SocketTimeoutException) {
                        lose(id, failure, afterwards);
                        break;
                    }
                    record.line("request %s: %s; sent once more", Rig.hex(id), failure.getMessage());
                }
            }
            Rig.sleep(PAUSE_MILLIS);
        }
        close(conn);
    }

    /**
     * Sends several bulk reads at once: the first to the store that may hang, the others to the other stores. Only the first is
     * checked here, as the others have to wait for it.
     */
    private void pipeliningClient(int number) {
        Rig.Conn conn = null;
        double nextAt = Rig.now();
        while (!ended) {
            Rig.sleep(nextAt - Rig.now());
            nextAt = Rig.now() + MILLIS_BETWEEN_BATCHES;
            ByteArrayOutputStream commands = new ByteArrayOutputStream();
            long[] ids = new long[COMMANDS_AT_ONCE];
            for (int i = 0; i < ids.length; i++) {
                ids[i] = lastId.incrementAndGet();
                int shard = i == 0 ? 0 : 1 + (int) (ids[i] % (STORES - 1));
                commands.writeBytes(Rig.read(ids[i], ids[i], Rig.fields("bulk-read", BULK_DEADLINE_MILLIS, shard)));
            }
            int answered = 0;
            boolean written = false;
            boolean afterwards = hangOver;
            try {
                if (conn == null) {
                    conn = new Rig.Conn(HOST, port);
                }
                record.line("send %s to %s at once", Rig.hex(ids[0]), Rig.hex(ids[ids.length - 1]));
                conn.write(commands.toByteArray());
                written = true;
                conn.timeout(BULK_DEADLINE_MILLIS + LATE_MILLIS);
                for (; answered < ids.length; answered++) {
                    count(ids[answered], conn.readReply());
                }
            } catch (IOException failure) {
                if (written && answered == 0 && failure instanceof SocketTimeoutException) {
                    lose(ids[0], failure, afterwards);
                } else {
                    record.line("pipelining client %d: %s after %d answers", number, failure.getMessage(), answered);
                }
                conn = close(conn);
            }
        }
        close(conn);
    }

    private void count(long id, Rig.Reply reply) {
        record.line("answer to %s: %s", Rig.hex(id), reply.describe().trim());
        if (!reply.isServed()) {
            unserved.incrementAndGet();
            return;
        }
        served.incrementAndGet();
    }

    private void lose(long id, IOException failure, boolean afterwards) {
        lost.incrementAndGet();
        if (afterwards) {
            lostAfterwards.incrementAndGet();
        }
        record.line(
                "LOST request %s: %s",
                Rig.hex(id),
                failure instanceof SocketTimeoutException ? "no answer 550 ms after its time" : failure.getMessage());
    }

    private static Rig.Conn close(Rig.Conn conn) {
        if (conn != null) {
            conn.close();
        }
        return null;
    }
}
