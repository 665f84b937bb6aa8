package sagepulley.codec.frame;

import io.netty.buffer.ByteBuf;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/** CRC32C (RFC 3720, appendix B.4) over buffers, without copying them. */
final class Crc32c {
    private final CRC32C sum = new CRC32C();

    Crc32c start() {
        sum.reset();
        return this;
    }

    Crc32c add(ByteBuf bytes, int at, int length) {
        if (length == 0) {
            return this;
        }
        if (bytes.nioBufferCount() == 1) {
            sum.update(bytes.internalNioBuffer(at, length));
        } else {
            for (ByteBuffer part : bytes.nioBuffers(at, length)) {
                sum.update(part);
            }
        }
        return this;
    }

    int value() {
        return (int) sum.getValue();
    }
}
