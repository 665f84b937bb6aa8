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
 * Writes replies to one client's socket, directly to the kernel where possible, and through Netty
 * once the socket buffer is full.
 *
 * <p>A write that fails because the kernel is out of buffers (ENOBUFS, ENOMEM) is retried shortly
 * afterwards; Netty would close the connection and lose the reply. Owns the queued buffers until
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
     * @param onResumed runs after each retry of a failed write
     */
    ClientWriter(Channel channel, Runnable onResumed) {
        this.channel = channel;
        this.onResumed = onResumed;
    }

    /** Returns whether replies are queued here, not yet passed to the kernel or to Netty. */
    boolean hasQueuedReplies() {
        return !queued.isEmpty();
    }

    void write(ByteBuf bytes) {
        queued.add(bytes);
    }

    /** Flushes the queue, and runs the task once everything queued so far has been passed on. */
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
                writeToNetty(); // closes the connection on this error
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

    /** Releases the queued buffers after the connection has closed. */
    void release() {
        queued.forEach(ByteBuf::release);
        queued.clear();
    }

    private boolean isNettyIdle() {
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        return pending != null && pending.isEmpty();
    }

    /** Writes the first queued reply to the socket; returns false if the socket buffer is full. */
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
