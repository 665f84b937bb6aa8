package sagepulley.transport;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests writes to peers that read late, at once or never. */
@Timeout(60)
class SocketWriterTest {
    private static final int PEERS = 40;
    private static final int BUFFERS = 200;
    private static final int BUFFER_BYTES = 65_536;
    private static final int RECEIVE_BUFFER_BYTES = 4_096;

    private final Transport transport = Transport.sockets();
    private final EventLoop loop = transport.eventLoops().next();
    private final PooledByteBufAllocator allocator = new PooledByteBufAllocator(true);

    @AfterEach
    void close() {
        transport.eventLoops().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private Channel connect(ServerSocket server) {
        return transport
                .connector()
                .option(ChannelOption.ALLOCATOR, (ByteBufAllocator) allocator)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(server.getLocalSocketAddress())
                .syncUninterruptibly()
                .channel();
    }

    /** Bytes that a peer had not read were copied to direct memory as they were written. */
    @Test
    void unreadBytesStayOnTheHeapAndArriveInOrder() throws Exception {
        try (ServerSocket server = new ServerSocket()) {
            server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            List<Socket> peers = new ArrayList<>();
            List<SocketWriter> writers = new ArrayList<>();
            AtomicLong written = new AtomicLong();
            AtomicLong flushed = new AtomicLong();
            for (int i = 0; i < PEERS; i++) {
                writers.add(new SocketWriter(connect(server), written::addAndGet));
                peers.add(server.accept());
            }
            for (SocketWriter writer : writers) {
                loop.submit(() -> writeAll(writer, flushed::incrementAndGet)).get();
            }
            long unread = loop.submit(() -> unread(writers)).get();
            long direct = allocator.metric().usedDirectMemory();
            assertTrue(unread > 100 << 20, "unread " + unread);
            assertTrue(direct <= 8 << 20, "direct memory " + direct + " for " + unread);
            assertEquals(0, flushed.get());
            for (Socket peer : peers) {
                assertReadsAll(peer.getInputStream());
                peer.close();
            }
            await().until(() -> flushed.get() == PEERS);
            assertEquals((long) PEERS * BUFFERS * BUFFER_BYTES, written.get());
        }
    }

    private static long unread(List<SocketWriter> writers) {
        return writers.stream().mapToLong(SocketWriter::queuedBytes).sum();
    }

    private static void writeAll(SocketWriter writer, Runnable onFlushed) {
        byte[][] contents = new byte[BUFFERS][];
        for (int i = 0; i < BUFFERS; i++) {
            contents[i] = i < 2 ? new byte[BUFFER_BYTES] : contents[i % 2];
            Arrays.fill(contents[i], (byte) (i % 2));
            writer.write(Unpooled.wrappedBuffer(contents[i]));
        }
        writer.runAfterFlush(onFlushed);
    }

    private static void assertReadsAll(InputStream in) throws Exception {
        for (int i = 0; i < BUFFERS; i++) {
            byte[] bytes = in.readNBytes(BUFFER_BYTES);
            assertEquals(BUFFER_BYTES, bytes.length);
            assertEquals(i % 2, bytes[0]);
            assertEquals(i % 2, bytes[BUFFER_BYTES - 1]);
        }
    }
}
