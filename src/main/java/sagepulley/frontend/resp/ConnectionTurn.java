package sagepulley.frontend.resp;

import sagepulley.transport.RoundRobinExecutor;

/**
 * The share of work that a connection has before others get their turn. A read of the socket is a
 * turn of its own; once its commands or bytes are used up, the connection waits for its next turn.
 * Runs on the event loop.
 */
final class ConnectionTurn {
    /** Commands of one connection that are decoded before others get their turn. */
    private static final int MAX_COMMANDS = 64;

    /** The same while other connections wait for their turn. */
    private static final int MAX_COMMANDS_BESIDE_OTHERS = 1;

    /** Bytes of one connection that are read before others get their turn. */
    private static final int MAX_BYTES = 262_144;

    private final RoundRobinExecutor turns;
    private final Runnable onTurn;
    private final Runnable afterTurn;
    private int commands;
    private int bytes;

    /** Whether the current turn is one that this connection has waited for. */
    private boolean isRunning;

    /** Whether the current turn is used up, so that nothing is read before the next one. */
    private boolean isOver;

    private boolean isRequested;

    /**
     * @param onTurn works off input that waits, in a turn that the connection has waited for
     * @param afterTurn runs after such a turn
     */
    ConnectionTurn(RoundRobinExecutor turns, Runnable onTurn, Runnable afterTurn) {
        this.turns = turns;
        this.onTurn = onTurn;
        this.afterTurn = afterTurn;
    }

    /** Begins a turn for what the next read of the socket brings, unless one has to be awaited. */
    void beginUnlessOver() {
        if (!isOver) {
            begin();
        }
    }

    private void begin() {
        commands = 0;
        bytes = 0;
        isOver = false;
    }

    /** Returns whether the turn is used up. */
    boolean isOver() {
        return isOver;
    }

    /** Returns whether a turn that the connection has waited for is running. */
    boolean isRunning() {
        return isRunning;
    }

    /** Ends the turn if it has had its commands. */
    void endIfCommandsUsed() {
        boolean besideOthers = !isRunning && turns.isBusy();
        if (commands >= (besideOthers ? MAX_COMMANDS_BESIDE_OTHERS : MAX_COMMANDS)) {
            end();
        }
    }

    /** Counts a command that is decoded. */
    void addCommand() {
        commands++;
    }

    /** Counts bytes that were read, and ends the turn if it has had its bytes. */
    void addBytes(int count) {
        bytes += count;
        if (bytes >= MAX_BYTES) {
            end();
        }
    }

    private void end() {
        isOver = true;
        request();
    }

    /** Requests a turn after those of the connections that wait already. */
    void request() {
        if (!isRequested) {
            isRequested = true;
            turns.add(this::run);
        }
    }

    private void run() {
        isRequested = false;
        begin();
        isRunning = true; // nothing more is read before the input that waits is decoded
        onTurn.run();
        isRunning = false;
        afterTurn.run();
    }
}
