package sagepulley.discovery.http;

import io.netty.handler.codec.json.JsonObjectDecoder;

/** Splits a byte stream into JSON values, with any white space between them. */
final class JsonValueDecoder extends JsonObjectDecoder {
    JsonValueDecoder(int maxValueBytes) {
        super(maxValueBytes);
    }

    /** Returns whether a value has been received in part. */
    boolean hasPartialValue() {
        return actualReadableBytes() > 0;
    }
}
