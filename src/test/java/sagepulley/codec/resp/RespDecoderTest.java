package sagepulley.codec.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.CorruptedFrameException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests decoding of RESP2 for any split of the bytes, and the rejection of malformed input. */
class RespDecoderTest {
    private static final RespLimits COMMANDS = RespLimits.commands(32, 1000, 2000, 8);
    private static final RespLimits REPLIES = RespLimits.replies(32, 1000, 2000, 3);

    @Property(tries = 300)
    void commandsAreDecodedHoweverTheBytesAreSplit(
            @ForAll @Size(min = 1, max = 5)
                    List<@Size(min = 1, max = 8) List<@Size(max = 60) byte[]>> commands,
            @ForAll @Size(max = 40) List<@IntRange(min = 1, max = 50) Integer> splits) {
        ByteBuf bytes = Unpooled.buffer();
        for (List<byte[]> command : commands) {
            bytes.writeBytes(RespEncoder.command(command));
        }
        EmbeddedChannel channel = new EmbeddedChannel(new RespDecoder(COMMANDS));
        for (int split : splits) {
            channel.writeInbound(bytes.readBytes(Math.min(split, bytes.readableBytes())));
        }
        channel.writeInbound(bytes);
        for (List<byte[]> command : commands) {
            Resp.Array decoded = channel.readInbound();
            assertEquals(command.size(), decoded.items().size());
            for (int i = 0; i < command.size(); i++) {
                assertTrue(
                        Arrays.equals(
                                command.get(i), ((Resp.Bulk) decoded.items().get(i)).bytes()));
            }
        }
        assertNull(channel.readInbound());
        channel.finishAndReleaseAll();
    }

    @Property(tries = 500)
    void randomInputCausesAtMostOneError(@ForAll @Size(max = 300) byte[] input) {
        EmbeddedChannel channel = new EmbeddedChannel(new RespDecoder(COMMANDS));
        int errors = 0;
        for (int i = 0; i < input.length; i += 7) {
            try {
                channel.writeInbound(
                        Unpooled.copiedBuffer(input, i, Math.min(7, input.length - i)));
            } catch (CorruptedFrameException expected) {
                errors++;
            }
        }
        assertTrue(errors <= 1, errors + " errors, expected at most 1");
        channel.finishAndReleaseAll();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "nonsense",
                "\r\n",
                "PING\r\n",
                "*0\r\n",
                "*-1\r\n",
                "*9\r\n",
                "*x\r\n",
                "*1\r\n+PING\r\n",
                "*1\r\n$-1\r\n",
                "*1\r\n$-5\r\n",
                "*1\r\n$1001\r\n",
                "*1\r\n$99999999999\r\n",
                "*1\r\n$ 4\r\n",
                "*1\n",
                "*1\r\n$4\r\nPINGxx",
                "*1\r\n*1\r\n",
                "*3\r\n$1000\r\nBULK$1000\r\nBULK$1\r\n",
                "*11111111111111111111111111111111111111111111111111111111"
            })
    void malformedCommandFailsAndLaterInputIsDropped(String text) {
        String bytes = text.replace("BULK", "x".repeat(1000) + "\r\n");
        EmbeddedChannel channel = new EmbeddedChannel(new RespDecoder(COMMANDS));
        assertThrows(CorruptedFrameException.class, () -> channel.writeInbound(ascii(bytes)));
        channel.writeInbound(ascii("*1\r\n$4\r\nPING\r\n"));
        assertNull(channel.readInbound(), "input after the error was decoded");
        channel.finishAndReleaseAll();
    }

    @Test
    void oversizedLengthFailsBeforeItsValueArrives() {
        EmbeddedChannel channel = new EmbeddedChannel(new RespDecoder(REPLIES));
        assertThrows(
                CorruptedFrameException.class,
                () -> channel.writeInbound(ascii("*3\r\n$3221225472\r\n")));
        channel.finishAndReleaseAll();
    }

    @Test
    void repliesOfEveryKindAreDecoded() {
        EmbeddedChannel channel = new EmbeddedChannel(new RespDecoder(REPLIES));
        channel.writeInbound(
                ascii(
                        "+PONG\r\n-ERR failed used=3\r\n:42\r\n$-1\r\n$0\r\n\r\n*-1\r\n*3\r\n$1\r\nv\r\n$-1"
                                + "\r\n$-1\r\n"));
        List<Resp> decoded = new ArrayList<>();
        for (Resp next = channel.readInbound(); next != null; next = channel.readInbound()) {
            decoded.add(next);
        }
        assertEquals(7, decoded.size());
        assertEquals("PONG", ((Resp.Line) decoded.get(0)).text());
        assertTrue(((Resp.Line) decoded.get(1)).isError());
        assertTrue(((Resp.Bulk) decoded.get(3)).isNull());
        assertEquals("", ((Resp.Bulk) decoded.get(4)).text());
        assertNull(((Resp.Array) decoded.get(5)).items());
        assertEquals(3, ((Resp.Array) decoded.get(6)).items().size());
        channel.finishAndReleaseAll();
    }

    @Test
    void valueThatMayNotBeKeptIsDiscardedAndTheNextIsDecoded() {
        LimitedBudget budget = new LimitedBudget(600);
        EmbeddedChannel channel = new EmbeddedChannel(new RespDecoder(COMMANDS, budget));
        String tooLong = "*1\r\n$1000\r\n" + "x".repeat(1000) + "\r\n";
        for (int i = 0; i < tooLong.length(); i += 100) {
            channel.writeInbound(ascii(tooLong.substring(i, Math.min(i + 100, tooLong.length()))));
        }
        channel.writeInbound(ascii("*1\r\n$4\r\nPING\r\n"));
        assertEquals(new Resp.Discarded(), channel.readInbound());
        assertEquals(
                "PING", ((Resp.Bulk) ((Resp.Array) channel.readInbound()).items().get(0)).text());
        channel.finishAndReleaseAll();
        assertEquals(0, budget.used);
    }

    @Test
    void valuesWaitUntilTheyMayBeDecoded() {
        LimitedBudget budget = new LimitedBudget(10_000);
        RespDecoder decoder = new RespDecoder(COMMANDS, budget);
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        String command = "*1\r\n$4\r\nPING\r\n";
        budget.maxValues = 2;
        channel.writeInbound(ascii(command.repeat(4) + command.substring(0, 9)));
        channel.writeInbound(ascii(command.substring(9)));
        assertEquals(2, channel.inboundMessages().size());
        budget.maxValues = 5;
        channel.read();
        channel.runPendingTasks();
        assertEquals(2, channel.inboundMessages().size());
        decoder.decodeWaiting();
        assertEquals(5, channel.inboundMessages().size());
        channel.finishAndReleaseAll();
        assertEquals(0, budget.used);
    }

    /** Limits the bytes that are kept and the values that are decoded. */
    private static final class LimitedBudget implements InputBudget {
        private final int maxBytes;
        private int maxValues = Integer.MAX_VALUE;
        private int values;
        private int used;

        LimitedBudget(int maxBytes) {
            this.maxBytes = maxBytes;
        }

        @Override
        public boolean mayDecode() {
            if (values >= maxValues) {
                return false;
            }
            values++;
            return true;
        }

        @Override
        public boolean reserve(int bytes) {
            if (used + bytes > maxBytes) {
                return false;
            }
            used += bytes;
            return true;
        }

        @Override
        public void reserveWaiting(int bytes) {
            used += bytes;
        }

        @Override
        public void release(int bytes) {
            used -= bytes;
        }
    }

    private static ByteBuf ascii(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }
}
