package sagepulley.upstream.frame;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.fail;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import sagepulley.codec.frame.Frame;
import sagepulley.codec.frame.FrameFields;
import sagepulley.codec.frame.MalformedMessageException;
import sagepulley.discovery.directory.DirectoryMessages;

/**
 * Verifies that store and directory messages are decoded as encoded, and that random fields are
 * read or rejected as malformed, without any other exception.
 */
class StoreMessagesTest {
    private interface MessageReader {
        Object read(Frame frame) throws MalformedMessageException;
    }

    private static final List<MessageReader> READERS =
            List.of(
                    StoreMessages::hello,
                    StoreMessages::handshakeReply,
                    StoreMessages::send,
                    StoreMessages::answer,
                    frame -> StoreMessages.loadReport(frame.head()),
                    DirectoryMessages::list,
                    DirectoryMessages::holders,
                    frame -> DirectoryMessages.line(frame.head()),
                    frame -> FrameFields.string(frame.head()));

    @Property(tries = 2000, seed = "41")
    void randomFieldsAreReadOrRejected(
            @ForAll @Size(max = 120) byte[] bytes,
            @ForAll @IntRange(min = 0, max = 8) int readerIndex,
            @ForAll boolean smallValues) {
        // Small values pass more of the checks than random ones.
        byte[] head = bytes.clone();
        for (int i = 0; smallValues && i < head.length; i++) {
            head[i] = (byte) (head[i] == 1 ? 1 : 0);
        }
        try {
            READERS.get(readerIndex).read(new Frame(1, 1, Unpooled.wrappedBuffer(head)));
        } catch (MalformedMessageException expected) {
            // rejected as malformed
        } catch (RuntimeException unexpected) {
            fail(unexpected);
        }
    }

    @Property(tries = 200, seed = "42")
    void writtenMessagesAreReadBack(
            @ForAll long number,
            @ForAll @IntRange(min = 0, max = 1 << 20) int offset,
            @ForAll @Size(max = 64) byte[] data,
            @ForAll @IntRange(min = 0, max = 65535) int planUsage,
            @ForAll @Size(max = 5) List<@IntRange(min = 0, max = 65535) Integer> ports)
            throws MalformedMessageException {
        ByteBuf payload = Unpooled.wrappedBuffer(data);
        StoreMessages.Send send =
                new StoreMessages.Send(
                        StoreMessages.Kind.WRITE,
                        3,
                        true,
                        1,
                        number,
                        2,
                        9,
                        number ^ 5,
                        offset,
                        data.length,
                        1.5f,
                        77);
        assertEquals(send, StoreMessages.send(StoreMessages.send(4, send, payload)));
        StoreMessages.Answer answer =
                new StoreMessages.Answer(
                        StoreMessages.Code.FULL,
                        planUsage,
                        2,
                        3,
                        4,
                        StoreMessages.Answer.NO_REPORT);
        assertEquals(
                answer,
                StoreMessages.answer(StoreMessages.answer(4, answer, Unpooled.EMPTY_BUFFER)));
        List<DirectoryMessages.EndpointLine> lines =
                ports.stream()
                        .map(
                                port ->
                                        new DirectoryMessages.EndpointLine(
                                                port,
                                                port,
                                                1,
                                                2,
                                                DirectoryMessages.Phase.DRAINING,
                                                number,
                                                0.5f,
                                                "host-" + port,
                                                port))
                        .toList();
        DirectoryMessages.EndpointList list =
                new DirectoryMessages.EndpointList(8, number, true, lines, number * 3, "site");
        assertEquals(list, DirectoryMessages.list(DirectoryMessages.list(list)));
    }
}
