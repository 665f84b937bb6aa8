package sagepulley.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the adapter's replies to valid and malformed frames. */
class SimulatorAdapterTest {
    @Test
    void emptyBatchYieldsAnEmptyReplyAndEndOfInputYieldsNone() throws IOException {
        assertEquals("000000010000000400000000", hex(replyTo(frame(1, 0, new byte[0]))));
        assertEquals("", hex(replyTo(new byte[0])));
    }

    @ParameterizedTest
    @CsvSource({
        "00000001, the header ends after 4 of 12 bytes",
        "000000010000000000000004, a length of 4 bytes does not fit 0 records",
        "0000000100000001000000080000000000000000, a length of 8 bytes does not fit 1 records",
        "00000001000000000000000800, the input ends after 1 of 8 bytes"
    })
    void malformedFrameIsReportedWithItsNumber(String bytes, String detail) {
        MalformedFrameException exception =
                assertThrows(MalformedFrameException.class, () -> replyTo(unhex(bytes)));
        assertEquals("frame 1: " + detail, exception.getMessage());
    }

    @ParameterizedTest
    @CsvSource({
        "63, unknown event code 99",
        "0800 00000000 00000001, offset 0 with 1 elements of 22 bytes exceeds the tail of 0 bytes",
        "0810, list table 16 is out of range"
    })
    void malformedRecordIsReportedWithItsIndex(String record, String detail) {
        byte[] bytes = new byte[56];
        byte[] prefix = unhex(record.replace(" ", ""));
        System.arraycopy(prefix, 0, bytes, 0, prefix.length);
        MalformedFrameException exception =
                assertThrows(MalformedFrameException.class, () -> replyTo(frame(1, 1, bytes)));
        assertTrue(
                exception.getMessage().startsWith("frame 1: record 0: ")
                        && exception.getMessage().contains(detail),
                exception.getMessage());
    }

    @Test
    void missingSettingIsReportedInAFatalRecord() throws IOException {
        byte[] text = "me=0\nballoons=3\nbalancers=1".getBytes(StandardCharsets.UTF_8);
        ByteBuffer startRecord = ByteBuffer.allocate(56 + text.length);
        startRecord.put((byte) 5).putInt(3).putLong(1).putInt(0).putInt(text.length);
        startRecord.position(56);
        startRecord.put(text);
        byte[] reply = replyTo(frame(1, 1, startRecord.array()));
        assertEquals(74, reply[12]);
        assertTrue(new String(reply, StandardCharsets.UTF_8).endsWith("classes.count is missing"));
    }

    private static byte[] frame(int number, int records, byte[] body) {
        return ByteBuffer.allocate(20 + body.length)
                .putInt(number)
                .putInt(records)
                .putInt(8 + body.length)
                .putLong(1_000_000)
                .put(body)
                .array();
    }

    private static byte[] replyTo(byte[] input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorAdapter(new ByteArrayInputStream(input), out).run();
        return out.toByteArray();
    }

    private static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    private static byte[] unhex(String text) {
        return HexFormat.of().parseHex(text);
    }
}
