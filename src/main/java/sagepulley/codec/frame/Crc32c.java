package sagepulley.codec.frame;

import io.netty.buffer.ByteBuf;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/** Computes the CRC32C checksum (RFC 3720, appendix B.4) of buffers without copying them. */
final class Crc32c {
    private final CRC32C checksum = new CRC32C();

    Crc32c start() {
        checksum.reset();
        return this;
    }

    Crc32c add(ByteBuf bytes, int offset, int length) {
        if (length == 0) {
            return this;
        }
        if (bytes.nioBufferCount() == 1) {
            checksum.update(bytes.internalNioBuffer(offset, length));
        } else {
            for (ByteBuffer buffer : bytes.nioBuffers(offset, length)) {
                checksum.update(buffer);
            }
        }
        return this;
    }

    int value() {
        return (int) checksum.getValue();
    }
}
