package sagepulley.frontend.resp;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.unix.Errors.NativeIoException;
import io.netty.channel.unix.FileDescriptor;
import io.netty.channel.unix.UnixChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Writes replies to one client's socket: to the system at once, and what its buffer cannot take to
 * Netty. Where the system is out of buffers (ENOBUFS, ENOMEM) the write is retried a moment later;
 * Netty would close the connection, and the reply would be lost. Owns the bytes it was given until
 * they are passed on. Runs on the event loop.
 */
final class ClientWriter {
    private static final long RETRY_DELAY_MILLIS = 1;
    private static final int ENOMEM = -12;
    private static final int ENOBUFS = -105;

    private final Channel channel;
    private final Runnable onResumed;
    private final ArrayDeque<ByteBuf> queued = new ArrayDeque<>();
    private Runnable afterFlush = () -> {};
    private boolean retryScheduled;

    /**
     * @param onResumed is run when a write that was retried has been passed on
     */
    ClientWriter(Channel channel, Runnable onResumed) {
        this.channel = channel;
        this.onResumed = onResumed;
    }

    /** Whether some reply has been given neither to the system nor to Netty yet. */
    boolean hasQueuedReplies() {
        return !queued.isEmpty();
    }

    void write(ByteBuf bytes) {
        queued.add(bytes);
    }

    /** Runs the task once all that was written by now has been passed on. */
    void runAfterFlush(Runnable task) {
        afterFlush = task;
        flush();
    }

    void flush() {
        if (retryScheduled) {
            return;
        }
        while (!queued.isEmpty()) {
            if (!isNettyIdle() || !(channel instanceof UnixChannel socket)) {
                writeToNetty();
                break;
            }
            try {
                if (!writeToSocket(socket.fd())) {
                    writeToNetty();
                    break;
                }
            } catch (NativeIoException failed) {
                if (failed.expectedErr() == ENOBUFS || failed.expectedErr() == ENOMEM) {
                    scheduleRetry();
                    return;
                }
                writeToNetty(); // which ends the connection
                break;
            } catch (IOException failed) {
                writeToNetty();
                break;
            }
        }
        Runnable task = afterFlush;
        afterFlush = () -> {};
        task.run();
    }

    /** Releases what is queued, after the connection has closed. */
    void release() {
        queued.forEach(ByteBuf::release);
        queued.clear();
    }

    private boolean isNettyIdle() {
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        return pending != null && pending.isEmpty();
    }

    /** Whether the system took all of the first reply. */
    private boolean writeToSocket(FileDescriptor socket) throws IOException {
        ByteBuf first = queued.peek();
        if (!first.isDirect() || first.nioBufferCount() != 1) {
            ByteBuf direct = channel.alloc().directBuffer(first.readableBytes());
            direct.writeBytes(first);
            first.release();
            queued.poll();
            queued.addFirst(direct);
            first = direct;
        }
        while (first.isReadable()) {
            ByteBuffer bytes = first.nioBuffer();
            int written = socket.write(bytes, bytes.position(), bytes.limit());
            if (written <= 0) {
                return false;
            }
            first.skipBytes(written); // a short write does not mean that the buffer is full
        }
        queued.poll().release();
        return true;
    }

    private void writeToNetty() {
        for (ByteBuf next = queued.poll(); next != null; next = queued.poll()) {
            channel.write(next, channel.voidPromise());
        }
        channel.flush();
    }

    private void scheduleRetry() {
        retryScheduled = true;
        channel.eventLoop()
                .schedule(
                        () -> {
                            retryScheduled = false;
                            if (channel.isOpen()) {
                                flush();
                                onResumed.run();
                            }
                        },
                        RETRY_DELAY_MILLIS,
                        TimeUnit.MILLISECONDS);
    }
}
