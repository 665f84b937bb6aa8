package sagepulley.faultinjection;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;

/** Many clients that write slowly, or stop in the middle of a command and stay connected. */
final class SlowClients implements Closeable {
    /** What each client does. */
    enum Kind {
        /** Sends most of a large write, then nothing. */
        STOPPED_WRITE,
        /** Sends a large write a few bytes at a time. */
        TRICKLED_WRITE,
        /** Sends a command of many short arguments without its last one. */
        SHORT_ARGUMENTS,
        /** Sends reads of many short fields, the last one in part. */
        SHORT_FIELDS,
        /** Sends large reads' worth of commands and reads no reply. */
        REPLIES_NOT_READ
    }

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int BODY_BYTES = 65_536;
    private static final int MAX_STOPPED_BYTES = 60_000;
    private static final int PIECE_BYTES = 40;
    private static final long PIECE_INTERVAL_MILLIS = 20;
    private static final int COMMANDS = 16;

    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final Kind kind;
    private volatile boolean stopped;

    /** Connects a number of clients to a gateway, which begin to send. */
    SlowClients(Kind kind, InetSocketAddress gateway, int clients) throws IOException {
        this.kind = kind;
        for (int i = 0; i < clients; i++) {
            Socket socket = new Socket();
            sockets.add(socket);
            try {
                socket.connect(gateway, CONNECT_TIMEOUT_MILLIS);
                socket.getOutputStream().write(start(i));
            } catch (IOException closedByGateway) {
                BackgroundTasks.close(socket);
            }
        }
        if (kind == Kind.TRICKLED_WRITE) {
            BackgroundTasks.run("slow-clients", this::trickle);
        }
    }

    private byte[] start(int client) {
        String id = String.format("%016x", (1L << 53) + client * 64L);
        String write =
                RespPeer.command(
                        "BLK.WRITE",
                        id,
                        id,
                        "c=put,t=any,d=1500,volume=0000000000000001,units=1,shard=0,hosts=1",
                        "w".repeat(BODY_BYTES));
        String text =
                switch (kind) {
                    case STOPPED_WRITE ->
                            write.substring(
                                    0, ThreadLocalRandom.current().nextInt(MAX_STOPPED_BYTES));
                    case TRICKLED_WRITE -> write.substring(0, PIECE_BYTES);
                    case SHORT_ARGUMENTS -> "*8\r\n" + "$1\r\na\r\n".repeat(7);
                    case SHORT_FIELDS -> shortFields(id).repeat(COMMANDS) + "*4\r\n$8\r\nBLK.";
                    case REPLIES_NOT_READ -> RespPeer.command("HELLO", id).repeat(BODY_BYTES / 32);
                };
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String shortFields(String id) {
        StringBuilder fields = new StringBuilder("c=get,t=any,d=1500");
        for (int i = 0; i < 28; i++) {
            fields.append(",f").append(i).append('=').append(i);
        }
        return RespPeer.command("BLK.READ", id, id, fields.toString());
    }

    private void trickle() throws InterruptedException {
        byte[] piece = "w".repeat(PIECE_BYTES).getBytes(StandardCharsets.ISO_8859_1);
        while (!stopped) {
            for (Socket socket : sockets) {
                try {
                    socket.getOutputStream().write(piece);
                } catch (IOException closedByGateway) {
                    BackgroundTasks.close(socket);
                }
            }
            Thread.sleep(PIECE_INTERVAL_MILLIS);
        }
    }

    @Override
    public void close() {
        stopped = true;
        sockets.forEach(BackgroundTasks::reset);
    }
}
