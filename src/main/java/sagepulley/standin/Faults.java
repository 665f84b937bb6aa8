package sagepulley.standin;

/** The faults of a stand-in node, set and read on any thread. */
public final class Faults {
    /** Takes operations, runs them and answers none, nor probes. */
    public volatile boolean unresponsive;

    /** Reads nothing from its sockets, and serves nothing. */
    public volatile boolean paused;

    /** Turns every operation away as if its queue were full. */
    public volatile boolean rejecting;

    /** The share of operations that run and end with an error. */
    public volatile double errorShare;

    /** The share of answers that are lost on the way, though probes are answered. */
    public volatile double lostAnswerShare;

    /** How many times longer everything takes. */
    public volatile double slowdownFactor = 1;

    /** Accepts no connection. */
    public volatile boolean unreachable;

    /** The next answer is cut off in its middle, and the link's sending side closed. */
    public volatile boolean halfCloseNextAnswer;

    /** The next answer is garbage, comes twice, or is for an attempt that was never sent. */
    public volatile boolean garbleNextAnswer;

    public volatile boolean duplicateNextAnswer;
    public volatile boolean answerUnknownAttempt;
}
