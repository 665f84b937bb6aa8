package sagepulley.codec.resp;

import java.nio.charset.StandardCharsets;
import java.util.List;

/** One value of RESP2. */
public sealed interface Resp {
    /** A line: '+' a simple string, '-' an error, ':' an integer. */
    record Line(char kind, String text) implements Resp {
        /** Whether it is an error. */
        public boolean isError() {
            return kind == '-';
        }
    }

    /** A bulk string; null bytes for the null one. */
    record Bulk(byte[] bytes) implements Resp {
        /** Whether it is the null bulk string. */
        public boolean isNull() {
            return bytes == null;
        }

        /** The bytes as ISO-8859-1, one character a byte. */
        public String text() {
            return new String(bytes, StandardCharsets.ISO_8859_1);
        }
    }

    /** An array; null items for the null one. */
    record Array(List<Resp> items) implements Resp {}
}
