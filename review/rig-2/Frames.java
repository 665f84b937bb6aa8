import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** The framing of docs/protocols.md ('Frames'), on blocking sockets. */
final class Frames {
    private static final int MAGIC = 0x5350;
    private static final int PREFIX_BYTES = 24;

    record Frame(int type, long number, byte[] head, byte[] payload) {
        ByteBuffer fields() {
            return ByteBuffer.wrap(head);
        }
    }

    /** Writes one message's fields. */
    static final class Fields {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private final DataOutputStream out = new DataOutputStream(bytes);

        Fields u8(int value) throws IOException {
            out.writeByte(value);
            return this;
        }

        Fields u16(int value) throws IOException {
            out.writeShort(value);
            return this;
        }

        Fields u32(int value) throws IOException {
            out.writeInt(value);
            return this;
        }

        Fields u64(long value) throws IOException {
            out.writeLong(value);
            return this;
        }

        Fields f32(float value) throws IOException {
            out.writeFloat(value);
            return this;
        }

        Fields text(String value) throws IOException {
            byte[] utf8 = value.getBytes(StandardCharsets.UTF_8);
            out.writeByte(utf8.length);
            out.write(utf8);
            return this;
        }

        byte[] bytes() {
            return bytes.toByteArray();
        }
    }

    private Frames() {}

    /** Reads a frame, or returns null at the end of the stream. */
    static Frame read(DataInputStream in) throws IOException {
        byte[] prefix = new byte[PREFIX_BYTES];
        int first = in.read();
        if (first < 0) {
            return null;
        }
        prefix[0] = (byte) first;
        in.readFully(prefix, 1, PREFIX_BYTES - 1);
        ByteBuffer fields = ByteBuffer.wrap(prefix);
        if ((fields.getShort() & 0xffff) != MAGIC || fields.get() != 1) {
            throw new IOException("not a frame");
        }
        int type = fields.get() & 0xff;
        byte[] head = new byte[fields.getInt()];
        byte[] payload = new byte[fields.getInt()];
        long number = fields.getLong();
        in.readFully(head);
        in.readFully(payload);
        in.readInt();
        return new Frame(type, number, head, payload);
    }

    /** Writes a frame. */
    static void write(Socket socket, int type, long number, byte[] head, byte[] payload)
            throws IOException {
        ByteBuffer frame =
                ByteBuffer.allocate(PREFIX_BYTES + head.length + payload.length + Integer.BYTES);
        frame.putShort((short) MAGIC).put((byte) 1).put((byte) type);
        frame.putInt(head.length).putInt(payload.length).putLong(number);
        frame.putInt(crc(frame.array(), 0, PREFIX_BYTES - Integer.BYTES));
        frame.put(head).put(payload);
        frame.putInt(crc(frame.array(), PREFIX_BYTES, head.length + payload.length));
        OutputStream out = socket.getOutputStream();
        synchronized (socket) {
            out.write(frame.array());
        }
    }

    private static int crc(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }
}
