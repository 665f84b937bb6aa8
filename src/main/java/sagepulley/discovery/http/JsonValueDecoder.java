package sagepulley.discovery.http;

import io.netty.handler.codec.json.JsonObjectDecoder;

/** Cuts a stream of bytes into JSON values, whatever white space stands between them. */
final class JsonValueDecoder extends JsonObjectDecoder {
    JsonValueDecoder(int maxValueBytes) {
        super(maxValueBytes);
    }

    /** Whether some bytes of a value have come, but not all. */
    boolean hasPartialValue() {
        return actualReadableBytes() > 0;
    }
}
