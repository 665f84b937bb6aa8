package sagepulley.frontend.resp;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import sagepulley.transport.MemoryAccount;
import sagepulley.transport.MemoryLimits;

/**
 * Accounts for the memory that clients make the gateway keep: commands received in part, commands
 * in flight, and replies that wait for an earlier reply or for the client to read.
 *
 * <p>The last part of the request memory is left for those commands that no other one of their
 * connection precedes and whose clients read their replies, so that replies that clients leave
 * unread do not keep others from being served. Commands behind others are not decoded while it is
 * all that is left; their connections are listed here and read again, in order, once there is room.
 * Runs on the event loop.
 */
final class ClientMemory {
    /** Share of the request memory up to which commands behind others are decoded. */
    private static final double PIPELINING_FRACTION = 0.6;

    /** Share of the request memory up to which operations are admitted and replies are queued. */
    private static final double ADMISSION_FRACTION = 0.8;

    /** Share of the request memory that one connection may use for commands behind others. */
    private static final double CONNECTION_FRACTION = 0.2;

    /** Connections that are read again in one task, so that others are not delayed. */
    private static final int RESUMED_PER_TASK = 16;

    /** Share of the input memory for input that waits; the rest is for commands in part. */
    private static final double WAITING_FRACTION = 0.25;

    private final MemoryAccount input;
    private final MemoryAccount waitingInput;
    private final MemoryAccount requests;
    private final long pipeliningBytes;
    private final long admissionBytes;
    private final long connectionBytes;
    private final Executor loop;
    private final Set<ClientConnection> paused = new LinkedHashSet<>();
    private Runnable inputReclaimer = () -> {};
    private boolean resumeScheduled;

    /** Creates the accounts; the executor runs tasks on the event loop. */
    ClientMemory(MemoryLimits limits, Executor loop) {
        long waitingBytes = (long) (limits.clientInputBytes() * WAITING_FRACTION);
        this.input = new MemoryAccount(limits.clientInputBytes() - waitingBytes);
        this.waitingInput = new MemoryAccount(waitingBytes);
        this.requests = new MemoryAccount(limits.requestBytes());
        this.pipeliningBytes = (long) (limits.requestBytes() * PIPELINING_FRACTION);
        this.admissionBytes = (long) (limits.requestBytes() * ADMISSION_FRACTION);
        this.connectionBytes = (long) (limits.requestBytes() * CONNECTION_FRACTION);
        this.loop = loop;
    }

    /** Sets the task that frees input memory held by clients that have stalled. */
    void setInputReclaimer(Runnable reclaimer) {
        inputReclaimer = reclaimer;
    }

    /** Returns the account of commands received in part. */
    MemoryAccount input() {
        return input;
    }

    /** Returns the account of input that was read and waits to be decoded. */
    MemoryAccount waitingInput() {
        return waitingInput;
    }

    /** Returns the account of commands in flight and of replies not yet written. */
    MemoryAccount requests() {
        return requests;
    }

    // ---- input ----

    /** Reserves memory for a command received in part; frees that of stalled ones if necessary. */
    boolean reserveInput(int bytes) {
        if (input.tryReserve(bytes)) {
            return true;
        }
        inputReclaimer.run();
        return input.tryReserve(bytes);
    }

    /** Returns the bytes of input that can be kept, whether it waits or is part of a command. */
    long availableInputBytes() {
        return Math.min(input.availableBytes(), waitingInput.availableBytes());
    }

    /** Returns whether input may be read that has to wait for earlier commands. */
    boolean mayReadAhead() {
        return waitingInput.availableBytes() > 0;
    }

    // ---- requests ----

    /** Returns whether a connection with these bytes in use may decode a command behind others. */
    boolean mayPipeline(long usedByConnection) {
        return usedByConnection < connectionBytes && hasRoomForPipelining();
    }

    /** Returns whether there is room for commands behind others at all. */
    boolean hasRoomForPipelining() {
        return requests.usedBytes() < pipeliningBytes;
    }

    /**
     * Reserves the memory of an operation; returns false if it cannot be admitted.
     *
     * @param mayUseLastPart whether no other command of the connection precedes it, and the client
     *     reads its replies
     */
    boolean tryAdmit(long bytes, boolean mayUseLastPart) {
        if (mayUseLastPart ? !mayWrite(bytes) : !mayQueue(bytes)) {
            return false;
        }
        requests.reserve(bytes);
        return true;
    }

    /** Returns whether this many more bytes may be kept for a reply behind others. */
    boolean mayQueue(long bytes) {
        return requests.usedBytes() + bytes <= admissionBytes;
    }

    /** Returns whether this many more bytes may be kept for the next reply of a connection. */
    boolean mayWrite(long bytes) {
        return bytes <= requests.availableBytes();
    }

    /** Changes the bytes in use by this many, up or down. */
    void adjust(long bytes) {
        requests.reserve(bytes);
        if (bytes < 0 && !paused.isEmpty() && hasRoomForPipelining()) {
            scheduleResume();
        }
    }

    // ---- paused connections ----

    /** Adds a connection that is not read until there is room for commands behind others. */
    void addPaused(ClientConnection connection) {
        paused.add(connection);
    }

    void removePaused(ClientConnection connection) {
        paused.remove(connection);
    }

    private void scheduleResume() {
        if (!resumeScheduled) {
            resumeScheduled = true;
            loop.execute(this::resumePaused);
        }
    }

    private void resumePaused() {
        resumeScheduled = false;
        if (!hasRoomForPipelining()) {
            return;
        }
        List<ClientConnection> next = new ArrayList<>(RESUMED_PER_TASK);
        for (ClientConnection connection : paused) {
            if (next.size() == RESUMED_PER_TASK) {
                break;
            }
            next.add(connection);
        }
        for (ClientConnection connection : next) {
            paused.remove(connection);
            connection.updateAutoRead();
        }
        if (!paused.isEmpty()) {
            scheduleResume();
        }
    }
}
