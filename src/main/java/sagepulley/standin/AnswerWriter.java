package sagepulley.standin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.DuplexChannel;
import java.util.Arrays;
import sagepulley.codec.frame.FrameEncoder;
import sagepulley.upstream.frame.StoreMessages;

/**
 * Writes answers to one gateway and applies the faults that garble, cut off, duplicate or precede
 * them. Answers written in one turn of the event loop leave with one flush.
 */
final class AnswerWriter {
    private static final int GARBAGE_BYTES = 28;
    private static final byte GARBAGE = 9;
    private static final long UNKNOWN_ATTEMPT_OFFSET = 1_000_000;

    private final Channel channel;
    private final Faults faults;
    private boolean flushScheduled;

    AnswerWriter(Channel channel, Faults faults) {
        this.channel = channel;
        this.faults = faults;
    }

    /** Writes the answer to an attempt. Takes ownership of the payload. */
    void write(long attempt, StoreMessages.Answer answer, ByteBuf payload) {
        if (faults.garbleNextAnswer) {
            faults.garbleNextAnswer = false;
            payload.release();
            writeGarbage();
            return;
        }
        if (faults.halfCloseNextAnswer && payload.isReadable()) {
            faults.halfCloseNextAnswer = false;
            writeHalfAndShutDown(attempt, answer, payload);
            return;
        }
        if (faults.duplicateNextAnswer) {
            faults.duplicateNextAnswer = false;
            channel.write(StoreMessages.answer(attempt, answer, payload.copy()));
        }
        if (faults.answerUnknownAttempt) {
            faults.answerUnknownAttempt = false;
            channel.write(
                    StoreMessages.answer(
                            attempt + UNKNOWN_ATTEMPT_OFFSET, answer, Unpooled.EMPTY_BUFFER));
        }
        channel.write(StoreMessages.answer(attempt, answer, payload));
        scheduleFlush();
    }

    private void scheduleFlush() {
        if (flushScheduled) {
            return;
        }
        flushScheduled = true;
        channel.eventLoop()
                .execute(
                        () -> {
                            flushScheduled = false;
                            channel.flush();
                        });
    }

    private void writeGarbage() {
        byte[] garbage = new byte[GARBAGE_BYTES];
        Arrays.fill(garbage, GARBAGE);
        writeRaw(Unpooled.wrappedBuffer(garbage));
    }

    private void writeHalfAndShutDown(long attempt, StoreMessages.Answer answer, ByteBuf payload) {
        EmbeddedChannel encoder = new EmbeddedChannel(new FrameEncoder());
        encoder.writeOutbound(StoreMessages.answer(attempt, answer, payload));
        ByteBuf frame = Unpooled.buffer();
        for (ByteBuf part = encoder.readOutbound(); part != null; part = encoder.readOutbound()) {
            frame.writeBytes(part);
            part.release();
        }
        writeRaw(frame.readSlice(frame.readableBytes() / 2))
                .addListener(done -> ((DuplexChannel) channel).shutdownOutput());
    }

    /** Writes bytes to the socket past the frame encoder. */
    private ChannelFuture writeRaw(ByteBuf bytes) {
        return channel.pipeline().firstContext().writeAndFlush(bytes);
    }
}
