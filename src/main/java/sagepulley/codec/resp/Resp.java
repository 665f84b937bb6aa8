package sagepulley.codec.resp;

import java.nio.charset.StandardCharsets;
import java.util.List;

/** One value of RESP2. */
public sealed interface Resp {
    /** A line: '+' a simple string, '-' an error, ':' an integer. */
    record Line(char kind, String text) implements Resp {
        public boolean isError() {
            return kind == '-';
        }
    }

    /** A bulk string; null bytes for the null one. */
    record Bulk(byte[] bytes) implements Resp {
        public boolean isNull() {
            return bytes == null;
        }

        /** One character a byte, so that nothing gets lost. */
        public String text() {
            return new String(bytes, StandardCharsets.ISO_8859_1);
        }
    }

    /** An array; null items for the null one. */
    record Array(List<Resp> items) implements Resp {}
}
