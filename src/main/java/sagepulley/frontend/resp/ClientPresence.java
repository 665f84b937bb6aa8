package sagepulley.frontend.resp;

import io.netty.channel.Channel;
import sagepulley.transport.PeerAcknowledgement;

/**
 * Determines when a client was last known not to have closed its connection. A socket that was read
 * empty proves it. While input is left unread the client's FIN may stand behind that; then only an
 * acknowledged reply is a proof, for a closed socket answers it with a reset. Times are
 * milliseconds. Runs on the event loop.
 */
final class ClientPresence {
    /** Time after which a client whose input is left unread counts as possibly gone. */
    private static final double MAX_ABSENCE_MILLIS = 50;

    private final PeerAcknowledgement acknowledgement;

    /** Time at which the client was last known to be present. */
    private double presentAt;

    /** Time at which the socket was last read, or its reading was turned on or off. */
    private double socketReadAt;

    /** Whether the last read left nothing unread. */
    private boolean isDrained = true;

    private boolean isReading = true;

    /** Number of reads and of changes of reading so far. */
    private long changes;

    /** Time at which the socket last took bytes of a reply. */
    private double writtenAt = Double.NEGATIVE_INFINITY;

    ClientPresence(PeerAcknowledgement acknowledgement) {
        this.acknowledgement = acknowledgement;
    }

    /** Records that the client has connected. */
    void onConnected(double now) {
        presentAt = now;
        socketReadAt = now;
    }

    /** Records a read that brought bytes; drained if it left room in its buffer. */
    void onRead(boolean drained, double now) {
        if (drained || isSocketEmpty(now)) {
            presentAt = now;
        }
        isDrained = drained;
        socketReadAt = now;
        changes++;
    }

    /** Records that the socket has taken bytes of a reply. */
    void onWritten(double now) {
        writtenAt = now;
    }

    /** Returns whether the socket is being read. */
    boolean isReading() {
        return isReading;
    }

    /** Records that reading of the socket is turned on or off. */
    void onReadingChanged(boolean reading, double now) {
        if (isSocketEmpty(now)) {
            presentAt = now;
        }
        isDrained = false;
        socketReadAt = now;
        isReading = reading;
        changes++;
    }

    /** Returns a number that differs after each read and each change of reading. */
    long changes() {
        return changes;
    }

    /**
     * Records that the event loop has polled the socket while it was being read. Nothing was left
     * unread if no read came of it.
     *
     * @param changesBefore the {@link #changes} when the poll was requested
     */
    void onPolled(long changesBefore, double now) {
        if (isReading && changes == changesBefore) {
            isDrained = true;
            presentAt = now;
        }
    }

    /** Returns whether the client is known to have been present lately. */
    boolean isPresent(Channel channel, double now) {
        if (isSocketEmpty(now) || now - presentAt <= MAX_ABSENCE_MILLIS) {
            return true;
        }
        if (writtenAt > presentAt && acknowledgement.isComplete(channel)) {
            presentAt = writtenAt;
        }
        return now - presentAt <= MAX_ABSENCE_MILLIS;
    }

    /**
     * Returns whether nothing was left unread when the event loop last polled the socket, as far as
     * that is known.
     */
    private boolean isSocketEmpty(double now) {
        return isReading && (isDrained || now - socketReadAt > MAX_ABSENCE_MILLIS);
    }
}
