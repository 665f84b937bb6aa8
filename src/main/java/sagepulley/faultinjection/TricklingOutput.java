package sagepulley.faultinjection;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Writes HTTP responses to a socket, at once or in pieces spread over a time. */
final class TricklingOutput {
    private static final long CHUNK_INTERVAL_MILLIS = 50;

    private final OutputStream out;

    TricklingOutput(Socket socket) throws IOException {
        this.out = socket.getOutputStream();
    }

    /** Writes a text at once. */
    void write(String text) throws IOException, InterruptedException {
        write(text, 0);
    }

    /** Writes one chunk of a chunked body, spread over a time. */
    void writeChunk(String text, long trickleMillis) throws IOException, InterruptedException {
        write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n", trickleMillis);
    }

    /** Writes a text in pieces spread evenly over a time; at once if the time is 0. */
    void write(String text, long trickleMillis) throws IOException, InterruptedException {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        long intervals = trickleMillis / CHUNK_INTERVAL_MILLIS;
        int pieces = (int) Math.max(1, Math.min(bytes.length, intervals));
        for (int i = 0; i < pieces; i++) {
            int from = (int) ((long) bytes.length * i / pieces);
            int to = (int) ((long) bytes.length * (i + 1) / pieces);
            if (i > 0) {
                Thread.sleep(trickleMillis / pieces);
            }
            out.write(bytes, from, to - from);
            out.flush();
        }
    }
}
