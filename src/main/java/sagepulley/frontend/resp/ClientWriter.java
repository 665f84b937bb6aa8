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
 * Writes answers to one client's socket. They are given to the system at once, and what it has no
 * room for to Netty, which waits until there is. A system without buffers (ENOBUFS, ENOMEM) is
 * asked again a moment later: Netty would close the connection, and the answer would be lost. On
 * the loop.
 */
final class ClientWriter {
    private static final long RETRY_DELAY_MILLIS = 1;
    private static final int ENOMEM = -12;
    private static final int ENOBUFS = -105;

    private final Channel channel;
    private final Runnable onResumed;
    private final ArrayDeque<ByteBuf> queued = new ArrayDeque<>();
    private Runnable onAllPassed = () -> {};
    private boolean retryScheduled;

    /** The task runs when what had to wait has been passed on. */
    ClientWriter(Channel channel, Runnable resumed) {
        this.channel = channel;
        this.onResumed = resumed;
    }

    /** Whether some answer could be given neither to the system nor to Netty yet. */
    boolean hasQueued() {
        return !queued.isEmpty();
    }

    void write(ByteBuf bytes) {
        queued.add(bytes);
    }

    /** Runs the task once all that was written by now has been passed on. */
    void runAfterAll(Runnable task) {
        onAllPassed = task;
        flush();
    }

    void flush() {
        if (retryScheduled) {
            return;
        }
        while (!queued.isEmpty()) {
            if (!isNettyIdle() || !(channel instanceof UnixChannel socket)) {
                passToNetty();
                break;
            }
            try {
                if (!passToSystem(socket.fd())) {
                    passToNetty();
                    break;
                }
            } catch (NativeIoException failed) {
                if (failed.expectedErr() == ENOBUFS || failed.expectedErr() == ENOMEM) {
                    retryLater();
                    return;
                }
                passToNetty(); // which ends the connection
                break;
            } catch (IOException failed) {
                passToNetty();
                break;
            }
        }
        Runnable task = onAllPassed;
        onAllPassed = () -> {};
        task.run();
    }

    /** Drops what waits: the connection is gone. */
    void release() {
        queued.forEach(ByteBuf::release);
        queued.clear();
    }

    private boolean isNettyIdle() {
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        return pending != null && pending.isEmpty();
    }

    /** Whether the system took all of the first answer. */
    private boolean passToSystem(FileDescriptor socket) throws IOException {
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
            int taken = socket.write(bytes, bytes.position(), bytes.limit());
            if (taken <= 0) {
                return false;
            }
            first.skipBytes(taken); // less than asked for is no sign that there is no room
        }
        queued.poll().release();
        return true;
    }

    private void passToNetty() {
        for (ByteBuf next = queued.poll(); next != null; next = queued.poll()) {
            channel.write(next, channel.voidPromise());
        }
        channel.flush();
    }

    private void retryLater() {
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
