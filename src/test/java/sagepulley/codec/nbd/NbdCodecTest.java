package sagepulley.codec.nbd;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import sagepulley.codec.frame.MalformedMessageException;

/** Verifies the NBD codec with input that is fragmented, malformed or random. */
class NbdCodecTest {
    private static final Export EXPORT =
            new Export("vol", "a volume", 1 << 20, false, true, 512, 4096, 65536);

    /** A server pipeline without a socket; records what the session receives. */
    private static final class Server {
        final List<NbdRequest> requests = new ArrayList<>();
        AttachedExport attached;
        Throwable failure;
        final EmbeddedChannel channel;
        boolean gateOpen = true;
        Runnable pendingRetry;

        Server() {
            Exports exports =
                    new Exports() {
                        @Override
                        public List<Export> all() {
                            return List.of(EXPORT);
                        }

                        @Override
                        public Export findByName(String name) {
                            return name.equals("vol") ? EXPORT : null;
                        }
                    };
            AdmissionGate gate =
                    new AdmissionGate() {
                        @Override
                        public boolean admit(long bytes, Runnable retry) {
                            pendingRetry = retry;
                            return gateOpen;
                        }

                        @Override
                        public void release(long bytes) {}
                    };
            channel = new EmbeddedChannel();
            NbdServer.addTo(
                    channel.pipeline(),
                    exports,
                    gate,
                    new ChannelInboundHandlerAdapter() {
                        @Override
                        public void channelRead(ChannelHandlerContext ctx, Object message) {
                            requests.add((NbdRequest) message);
                        }

                        @Override
                        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
                            attached = (AttachedExport) event;
                        }

                        @Override
                        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                            failure = cause;
                            ctx.close();
                        }
                    });
            channel.pipeline().fireChannelActive();
        }

        void feed(byte[] bytes, List<Integer> lengths) {
            for (int at = 0, i = 0; at < bytes.length && channel.isActive(); i++) {
                int length = Math.min(bytes.length - at, lengths.get(i % lengths.size()));
                channel.writeInbound(Unpooled.copiedBuffer(bytes, at, length));
                at += length;
            }
        }

        /** Returns the types of the option replies that were sent. */
        List<Integer> optionReplyTypes() {
            ByteBuf all = Unpooled.buffer();
            for (ByteBuf part = channel.readOutbound();
                    part != null;
                    part = channel.readOutbound()) {
                all.writeBytes(part);
                part.release();
            }
            all.skipBytes(18);
            List<Integer> types = new ArrayList<>();
            while (all.isReadable()) {
                assertEquals(NbdConstants.OPTION_REPLY_MAGIC, all.readLong());
                all.readInt();
                types.add(all.readInt());
                all.skipBytes(all.readInt());
            }
            return types;
        }
    }

    private static ByteBuf option(ByteBuf to, int code, byte[] data) {
        return to.writeLong(NbdConstants.IHAVEOPT)
                .writeInt(code)
                .writeInt(data.length)
                .writeBytes(data);
    }

    private static byte[] optionData(String name, int... shorts) {
        ByteBuf data =
                Unpooled.buffer()
                        .writeInt(name.length())
                        .writeBytes(name.getBytes(StandardCharsets.UTF_8))
                        .writeShort(shorts.length);
        for (int type : shorts) {
            data.writeShort(type);
        }
        return ByteBufUtil.getBytes(data);
    }

    private static byte[] session(List<byte[]> payloads) {
        ByteBuf all = Unpooled.buffer().writeInt(3);
        option(all, NbdConstants.OPT_STRUCTURED_REPLY, new byte[0]);
        option(all, NbdConstants.OPT_GO, optionData("vol", NbdConstants.INFO_BLOCK_SIZE));
        for (int i = 0; i < payloads.size(); i++) {
            byte[] payload = payloads.get(i);
            all.writeInt(NbdConstants.REQUEST_MAGIC)
                    .writeShort(0)
                    .writeShort(NbdConstants.CMD_WRITE)
                    .writeLong(i)
                    .writeLong(512L * i)
                    .writeInt(payload.length)
                    .writeBytes(payload);
            all.writeInt(NbdConstants.REQUEST_MAGIC)
                    .writeShort(0)
                    .writeShort(NbdConstants.CMD_READ)
                    .writeLong(1000 + i)
                    .writeLong(0)
                    .writeInt(512);
        }
        return ByteBufUtil.getBytes(all);
    }

    @Property(tries = 200, seed = "21")
    void anyFragmentationGivesTheSameRequests(
            @ForAll @Size(min = 1, max = 4) List<@Size(max = 200) byte[]> payloads,
            @ForAll @Size(min = 1, max = 8) List<@IntRange(min = 1, max = 70) Integer> lengths) {
        Server server = new Server();
        server.feed(session(payloads), lengths);
        assertNull(server.failure);
        assertTrue(server.attached.structured());
        assertEquals(2 * payloads.size(), server.requests.size());
        for (int i = 0; i < payloads.size(); i++) {
            NbdRequest write = server.requests.get(2 * i);
            assertEquals(Unpooled.wrappedBuffer(payloads.get(i)), write.payload());
            assertEquals(1000 + i, server.requests.get(2 * i + 1).cookie());
            write.payload().release();
        }
        server.channel.finishAndReleaseAll();
    }

    @Property(tries = 400, seed = "22")
    void randomBytesAreAnsweredOrEndTheConnection(
            @ForAll @Size(min = 1, max = 300) byte[] bytes,
            @ForAll @IntRange(min = 0, max = 100) int validBytes) {
        byte[] all = session(List.of(new byte[64]));
        int start = Math.min(validBytes, all.length);
        ByteBuf mixed = Unpooled.buffer().writeBytes(all, 0, start).writeBytes(bytes);
        Server server = new Server();
        server.feed(ByteBufUtil.getBytes(mixed), List.of(13));
        server.channel.checkException();
        if (server.failure != null) {
            assertInstanceOf(MalformedMessageException.class, server.failure);
        }
        server.requests.forEach(request -> request.payload().release());
        server.channel.finishAndReleaseAll();
    }

    @Property(tries = 300, seed = "23")
    void randomBytesEndTheClientConnection(
            @ForAll @Size(min = 20, max = 300) byte[] bytes, @ForAll boolean afterGreeting) {
        EmbeddedChannel client = new EmbeddedChannel();
        NbdClientDecoder decoder = new NbdClientDecoder(cookie -> 512);
        client.pipeline().addLast(decoder);
        if (afterGreeting) {
            client.writeInbound(
                    Unpooled.buffer()
                            .writeLong(NbdConstants.NBDMAGIC)
                            .writeLong(NbdConstants.IHAVEOPT)
                            .writeShort(3));
        }
        Throwable thrown = null;
        try {
            client.writeInbound(Unpooled.wrappedBuffer(bytes));
            client.checkException();
        } catch (Throwable t) {
            thrown = t;
        }
        assertInstanceOf(MalformedMessageException.class, thrown);
        for (Object message = client.readInbound();
                message != null;
                message = client.readInbound()) {
            ByteBuf data =
                    message instanceof NbdClientDecoder.Chunk chunk
                            ? chunk.data()
                            : message instanceof NbdClientDecoder.SimpleReply simple
                                    ? simple.data()
                                    : message instanceof NbdClientDecoder.OptionReply reply
                                            ? reply.data()
                                            : null;
            if (data != null) {
                data.release();
            }
        }
    }

    @Test
    void optionsGetTheRepliesOfTheProtocolText() {
        Server server = new Server();
        ByteBuf all = Unpooled.buffer().writeInt(3);
        option(all, NbdConstants.OPT_LIST, new byte[0]);
        option(all, NbdConstants.OPT_LIST, new byte[] {1});
        option(all, 77, new byte[] {1, 2, 3});
        option(all, NbdConstants.OPT_INFO, optionData("other"));
        option(all, NbdConstants.OPT_INFO, new byte[] {0, 0, 0, 99});
        option(all, NbdConstants.OPT_SET_META_CONTEXT, optionData("vol"));
        option(all, NbdConstants.OPT_STARTTLS, new byte[0]);
        option(all, NbdConstants.OPT_INFO, new byte[100_000]);
        option(
                all,
                NbdConstants.OPT_INFO,
                optionData("vol", NbdConstants.INFO_NAME, NbdConstants.INFO_DESCRIPTION));
        option(all, NbdConstants.OPT_ABORT, new byte[0]);
        server.feed(ByteBufUtil.getBytes(all), List.of(50));
        assertEquals(
                List.of(
                        NbdConstants.REP_SERVER,
                        NbdConstants.REP_ACK,
                        NbdConstants.REP_ERR_INVALID,
                        NbdConstants.REP_ERR_UNSUP,
                        NbdConstants.REP_ERR_UNKNOWN,
                        NbdConstants.REP_ERR_INVALID,
                        NbdConstants.REP_ERR_INVALID,
                        NbdConstants.REP_ERR_UNSUP,
                        NbdConstants.REP_ERR_TOO_BIG,
                        NbdConstants.REP_INFO,
                        NbdConstants.REP_INFO,
                        NbdConstants.REP_INFO,
                        NbdConstants.REP_INFO,
                        NbdConstants.REP_ACK,
                        NbdConstants.REP_ACK),
                server.optionReplyTypes());
        assertFalse(server.channel.isActive());
    }

    @Test
    void oversizedOptionEndsTheConnection() {
        Server server = new Server();
        server.feed(
                ByteBufUtil.getBytes(
                        Unpooled.buffer()
                                .writeInt(3)
                                .writeLong(NbdConstants.IHAVEOPT)
                                .writeInt(NbdConstants.OPT_INFO)
                                .writeInt(-1)),
                List.of(100));
        assertInstanceOf(MalformedMessageException.class, server.failure);
        assertFalse(server.channel.isActive());
        server.channel.finishAndReleaseAll();
    }

    @Test
    void requestsAreNotReadUntilTheGateAdmitsThem() {
        Server server = new Server();
        server.gateOpen = false;
        server.feed(session(List.of(new byte[512])), List.of(1000));
        assertTrue(server.requests.isEmpty());
        assertFalse(server.channel.config().isAutoRead());
        server.gateOpen = true;
        server.pendingRetry.run();
        server.channel.runPendingTasks();
        assertEquals(2, server.requests.size());
        assertTrue(server.channel.config().isAutoRead());
        server.requests.forEach(request -> request.payload().release());
        server.channel.finishAndReleaseAll();
    }
}
