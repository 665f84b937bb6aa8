package sagepulley.codec.resp;

import java.nio.charset.StandardCharsets;
import java.util.List;

/** A RESP2 value. */
public sealed interface Resp {
    /** A single-line value: '+' for a simple string, '-' for an error, ':' for an integer. */
    record Line(char kind, String text) implements Resp {
        /** Returns whether the line is an error. */
        public boolean isError() {
            return kind == '-';
        }
    }

    /** A bulk string; the bytes are null for the null bulk string. */
    record Bulk(byte[] bytes) implements Resp {
        /** Returns whether this is the null bulk string. */
        public boolean isNull() {
            return bytes == null;
        }

        /** Decodes the bytes as ISO-8859-1, one character per byte. */
        public String text() {
            return new String(bytes, StandardCharsets.ISO_8859_1);
        }
    }

    /** An array; the items are null for the null array. */
    record Array(List<Resp> items) implements Resp {}

    /** A value that was received whole, but whose bytes were not kept for lack of memory. */
    record Discarded() implements Resp {}
}
