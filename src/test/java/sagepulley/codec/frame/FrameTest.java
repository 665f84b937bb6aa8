package sagepulley.codec.frame;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Verifies the decoding of frames that are fragmented, corrupted or random. */
class FrameTest {
    /** Encodes a frame for each payload. */
    private static byte[] encode(List<byte[]> payloads) {
        EmbeddedChannel out = new EmbeddedChannel(new FrameEncoder());
        for (int i = 0; i < payloads.size(); i++) {
            out.writeOutbound(
                    new Frame(
                            i % 250,
                            -i,
                            Unpooled.wrappedBuffer(new byte[] {(byte) i, 7}),
                            Unpooled.wrappedBuffer(payloads.get(i))));
        }
        ByteBuf all = Unpooled.buffer();
        for (ByteBuf part = out.readOutbound(); part != null; part = out.readOutbound()) {
            all.writeBytes(part);
            part.release();
        }
        out.finishAndReleaseAll();
        return ByteBufUtil.getBytes(all);
    }

    /**
     * Feeds the bytes in pieces of the given lengths, which are repeated, and returns the buffers.
     */
    static List<ByteBuf> feed(EmbeddedChannel to, byte[] bytes, List<Integer> lengths) {
        List<ByteBuf> buffers = new ArrayList<>();
        for (int at = 0, i = 0; at < bytes.length; i++) {
            int length = Math.min(bytes.length - at, lengths.get(i % lengths.size()));
            ByteBuf piece = Unpooled.copiedBuffer(bytes, at, length);
            buffers.add(piece);
            to.writeInbound(piece);
            at += length;
        }
        return buffers;
    }

    @Property(tries = 200, seed = "11")
    void anyFragmentationGivesTheSameFrames(
            @ForAll @Size(min = 1, max = 5) List<@Size(max = 300) byte[]> payloads,
            @ForAll @Size(min = 1, max = 8) List<@IntRange(min = 1, max = 90) Integer> lengths) {
        EmbeddedChannel in = new EmbeddedChannel(new FrameDecoder(300));
        List<ByteBuf> buffers = feed(in, encode(payloads), lengths);
        for (int i = 0; i < payloads.size(); i++) {
            Frame frame = in.readInbound();
            assertEquals(i % 250, frame.type());
            assertEquals(-i, frame.id());
            assertEquals(Unpooled.wrappedBuffer(payloads.get(i)), frame.payload());
            frame.release();
        }
        assertNull(in.readInbound());
        in.finish();
        buffers.forEach(piece -> assertEquals(0, piece.refCnt()));
    }

    @Property(tries = 300, seed = "12")
    void flippedBitEndsTheConnection(
            @ForAll @Size(max = 100) byte[] payload,
            @ForAll @IntRange(min = 0, max = 10_000) int bitIndex) {
        byte[] bytes = encode(List.of(payload, payload));
        bytes[bitIndex / 8 % bytes.length] =
                (byte) (bytes[bitIndex / 8 % bytes.length] ^ 1 << bitIndex % 8);
        EmbeddedChannel in = new EmbeddedChannel(new FrameDecoder(100));
        Throwable thrown = null;
        try {
            feed(in, bytes, List.of(17));
            in.checkException();
        } catch (Throwable t) {
            thrown = t;
        }
        assertInstanceOf(MalformedMessageException.class, thrown);
        for (Frame frame = in.readInbound(); frame != null; frame = in.readInbound()) {
            frame.release();
        }
    }

    @Property(tries = 300, seed = "13")
    void randomBytesEndTheConnection(@ForAll @Size(min = 24, max = 200) byte[] bytes) {
        EmbeddedChannel in = new EmbeddedChannel(new FrameDecoder(100));
        Throwable thrown = null;
        List<ByteBuf> buffers = List.of();
        try {
            buffers = feed(in, bytes, List.of(31));
            in.checkException();
        } catch (Throwable t) {
            thrown = t;
        }
        assertInstanceOf(MalformedMessageException.class, thrown);
        buffers.forEach(piece -> assertEquals(0, piece.refCnt()));
    }
}
