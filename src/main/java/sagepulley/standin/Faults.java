package sagepulley.standin;

/** Holds the fault settings of a stand-in node. Fields may be set and read on any thread. */
public final class Faults {
    /** Attempts are executed, but neither they nor health checks are answered. */
    public volatile boolean unresponsive;

    /** Received messages are queued, and no attempt is started. */
    public volatile boolean paused;

    /** Every attempt is rejected as if the queue were full. */
    public volatile boolean rejecting;

    /** Share of operations, 0 to 1, that are executed and answered with an error. */
    public volatile double errorShare;

    /** Share of answers, 0 to 1, that are not sent; health checks are still answered. */
    public volatile double lostAnswerShare;

    /** Factor by which service times are multiplied. */
    public volatile double slowdownFactor = 1;

    /** New connections are closed at once. */
    public volatile boolean unreachable;

    /**
     * The next answer with a payload is cut off in the middle, and the sending side of the
     * connection is shut down.
     */
    public volatile boolean halfCloseNextAnswer;

    /** The next answer is replaced by bytes that are not a frame. */
    public volatile boolean garbleNextAnswer;

    /** The next answer is sent twice. */
    public volatile boolean duplicateNextAnswer;

    /** The next answer is preceded by one for an attempt that was never sent. */
    public volatile boolean answerUnknownAttempt;
}
