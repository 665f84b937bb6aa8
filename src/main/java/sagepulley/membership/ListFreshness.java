package sagepulley.membership;

/** The trust in an endpoint list, by the time since a directory last confirmed it. */
public enum ListFreshness {
    /**
     * Nodes are used as listed; changes since the last confirmation are expected to arrive soon.
     */
    FRESH,
    /**
     * Nodes may be sent to and are verified by the handshake; new objects are placed only on
     * verified nodes.
     */
    AGED,
    /** A node is used only after a probe has verified it. */
    OLD
}
