package sagepulley.faultinjection;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One side of a RESP connection. */
final class RespPeer {
    final Socket socket;
    private final InputStream in;

    RespPeer(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        this.socket = socket;
        this.in = new BufferedInputStream(socket.getInputStream());
    }

    /** Writes a text and flushes it. */
    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Returns a command encoded as an array of bulk strings. */
    static String command(String... arguments) {
        StringBuilder text = new StringBuilder("*" + arguments.length + "\r\n");
        for (String argument : arguments) {
            text.append('$')
                    .append(argument.length())
                    .append("\r\n")
                    .append(argument)
                    .append("\r\n");
        }
        return text.toString();
    }

    /**
     * Reads an answer and returns a line with its first character, or a bulk string prefixed with
     * '$'; null at the end of the connection.
     */
    String readAnswer() throws IOException {
        int first = in.read();
        if (first < 0) {
            return null;
        }
        String line = readLine();
        return first == '$' ? "$" + readBulk("$" + line) : (char) first + line;
    }

    private String readBulk(String head) throws IOException {
        int length = Integer.parseInt(head.substring(1));
        byte[] bytes = in.readNBytes(length + 2);
        if (bytes.length < length + 2) {
            throw new EOFException("connection ended inside a bulk string");
        }
        return new String(bytes, 0, length, StandardCharsets.ISO_8859_1);
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("connection ended inside a line");
            }
            line.append((char) next);
        }
        return line.toString().trim();
    }
}
