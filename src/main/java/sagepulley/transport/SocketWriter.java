package sagepulley.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.unix.Errors.NativeIoException;
import io.netty.channel.unix.FileDescriptor;
import io.netty.channel.unix.UnixChannel;
import io.netty.util.concurrent.FastThreadLocal;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Writes heap buffers to one socket through a direct buffer that all sockets of the event loop
 * share.
 *
 * <p>While the socket takes no more bytes, the rest stays queued on the heap; only a short chunk is
 * handed to Netty, whose completion tells that the socket is writable again. A peer that does not
 * read therefore holds no more direct memory than that chunk.
 *
 * <p>A write that fails because the kernel is out of buffers (ENOBUFS, ENOMEM) is retried shortly
 * afterwards; Netty would close the connection and lose the bytes. Owns the queued buffers. Runs on
 * the event loop.
 */
public final class SocketWriter {
    private static final int SHARED_BUFFER_BYTES = 65_536;
    private static final int CHUNK_BYTES = 4_096;
    private static final long RETRY_DELAY_MILLIS = 1;
    private static final int ENOMEM = -12;
    private static final int ENOBUFS = -105;

    private static final FastThreadLocal<ByteBuffer> SHARED_BUFFER =
            new FastThreadLocal<>() {
                @Override
                protected ByteBuffer initialValue() {
                    return ByteBuffer.allocateDirect(SHARED_BUFFER_BYTES);
                }
            };

    private final Channel channel;
    private final LongConsumer onWritten;
    private final ArrayDeque<ByteBuf> queued = new ArrayDeque<>();
    private long queuedBytes;
    private Runnable afterFlush = () -> {};

    /** Whether Netty has a chunk that the socket has not taken. */
    private boolean chunkPending;

    private boolean retryScheduled;
    private boolean flushing;

    /** Whether the connection has closed or a write has failed, which closes it. */
    private boolean closed;

    /**
     * Creates a writer for a channel.
     *
     * @param onWritten called with the number of bytes that the socket has taken
     */
    public SocketWriter(Channel channel, LongConsumer onWritten) {
        this.channel = channel;
        this.onWritten = onWritten;
    }

    /** Returns the bytes that the socket has not taken yet. */
    public long queuedBytes() {
        return queuedBytes;
    }

    /** Queues the bytes, which the writer releases once they are written. */
    public void write(ByteBuf bytes) {
        if (!bytes.isReadable()) {
            bytes.release();
            return;
        }
        queuedBytes += bytes.readableBytes();
        queued.add(bytes);
    }

    /** Flushes the queue, and runs the task once the socket has taken everything queued so far. */
    public void runAfterFlush(Runnable task) {
        afterFlush = task;
        flush();
    }

    /** Writes as much as the socket takes now; the rest follows when it is writable again. */
    public void flush() {
        if (flushing) {
            return; // the loop below continues
        }
        flushing = true;
        try {
            while (!queued.isEmpty() && !chunkPending && !retryScheduled && !closed) {
                writeFront();
            }
        } finally {
            flushing = false;
        }
        if (queuedBytes == 0 && !closed) {
            Runnable task = afterFlush;
            afterFlush = () -> {};
            task.run();
        }
    }

    private void writeFront() {
        try {
            if (!(channel instanceof UnixChannel socket) || !writeToSocket(socket.fd())) {
                passChunkToNetty();
            }
        } catch (IOException failed) {
            if (failed instanceof NativeIoException error
                    && (error.expectedErr() == ENOBUFS || error.expectedErr() == ENOMEM)) {
                scheduleRetry();
            } else {
                passChunkToNetty(); // closes the connection on this error
            }
        }
    }

    /** Releases the queued buffers after the connection has closed. */
    public void close() {
        closed = true;
        afterFlush = () -> {};
        queued.forEach(ByteBuf::release);
        queued.clear();
    }

    /** Writes from the front of the queue; returns false if the socket buffer is full. */
    private boolean writeToSocket(FileDescriptor socket) throws IOException {
        ByteBuffer buffer = SHARED_BUFFER.get();
        fill(buffer.clear());
        buffer.flip();
        while (buffer.hasRemaining()) {
            int written = socket.write(buffer, buffer.position(), buffer.limit());
            if (written <= 0) {
                return false;
            }
            buffer.position(buffer.position() + written); // a short write may be followed by more
            skip(written);
            onWritten(written);
        }
        return true;
    }

    private void fill(ByteBuffer buffer) {
        int limit = buffer.limit();
        for (ByteBuf bytes : queued) {
            int count = Math.min(bytes.readableBytes(), buffer.remaining());
            buffer.limit(buffer.position() + count);
            bytes.getBytes(bytes.readerIndex(), buffer);
            buffer.limit(limit);
            if (!buffer.hasRemaining()) {
                return;
            }
        }
    }

    /** Removes bytes from the front of the queue. */
    private void skip(int bytes) {
        int remaining = bytes;
        while (remaining > 0) {
            ByteBuf first = queued.peek();
            int count = Math.min(remaining, first.readableBytes());
            first.skipBytes(count);
            remaining -= count;
            if (!first.isReadable()) {
                queued.poll().release();
            }
        }
    }

    private void passChunkToNetty() {
        ByteBuf first = queued.peek();
        int count = Math.min(first.readableBytes(), CHUNK_BYTES);
        ByteBuf chunk = channel.alloc().ioBuffer(count).writeBytes(first, count);
        if (!first.isReadable()) {
            queued.poll().release();
        }
        chunkPending = true;
        channel.writeAndFlush(chunk)
                .addListener(
                        done -> {
                            chunkPending = false;
                            closed |= !done.isSuccess();
                            if (!closed) {
                                onWritten(count);
                                flush();
                            }
                        });
    }

    private void onWritten(int bytes) {
        queuedBytes -= bytes;
        onWritten.accept(bytes);
    }

    private void scheduleRetry() {
        retryScheduled = true;
        channel.eventLoop()
                .schedule(
                        () -> {
                            retryScheduled = false;
                            flush();
                        },
                        RETRY_DELAY_MILLIS,
                        TimeUnit.MILLISECONDS);
    }
}
