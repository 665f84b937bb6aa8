package sagepulley.faultinjection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A client that sends a write, leaves, and sends the write again under the same id. */
final class ReturningClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long AWAY_MILLIS = 20;

    final String id;
    private final InetSocketAddress gateway;
    private final String command;

    ReturningClient(InetSocketAddress gateway, long number, long deadlineMillis) {
        this.gateway = gateway;
        this.id = String.format("%016x", (1L << 54) + number);
        this.command =
                RespPeer.command(
                        "BLK.WRITE",
                        id,
                        id,
                        "c=put,t=any,d="
                                + deadlineMillis
                                + ",volume=0000000000000002,units=1,shard=0,hosts=1",
                        "bytes");
    }

    /** Sends the write, closes the connection after a time, and sends the write again. */
    void run(long leaveAfterMillis) throws IOException, InterruptedException {
        send(leaveAfterMillis);
        Thread.sleep(AWAY_MILLIS);
        send(leaveAfterMillis);
    }

    private void send(long leaveAfterMillis) throws IOException, InterruptedException {
        try (Socket socket = new Socket()) {
            socket.connect(gateway, CONNECT_TIMEOUT_MILLIS);
            new RespPeer(socket).send(command);
            Thread.sleep(leaveAfterMillis);
        }
    }
}
