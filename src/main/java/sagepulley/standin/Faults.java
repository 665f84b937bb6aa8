package sagepulley.standin;

/** The faults of a stand-in node; fields are set and read on any thread. */
public final class Faults {
    /** Executes attempts and answers none, nor health checks. */
    public volatile boolean unresponsive;

    /** Handles nothing that comes, and serves nothing. */
    public volatile boolean paused;

    /** Rejects every attempt as if its queue were full. */
    public volatile boolean rejecting;

    /** The share of operations, 0 to 1, that are executed and end with an error. */
    public volatile double errorShare;

    /** The share of answers, 0 to 1, that are lost on the way; health checks are answered. */
    public volatile double lostAnswerShare;

    /** How many times longer everything takes. */
    public volatile double slowdownFactor = 1;

    /** Accepts no connection. */
    public volatile boolean unreachable;

    /** The next answer with data is cut off in its middle, and the sending side shut down. */
    public volatile boolean halfCloseNextAnswer;

    /** The next answer is bytes that are no frame. */
    public volatile boolean garbleNextAnswer;

    /** The next answer is sent twice. */
    public volatile boolean duplicateNextAnswer;

    /** Before the next answer comes one for an attempt that was never sent. */
    public volatile boolean answerUnknownAttempt;
}
