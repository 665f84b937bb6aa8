package sagepulley.membership;

/** How far an endpoint list is trusted, by the time since a directory confirmed it. */
public enum ListFreshness {
    /** Used as it is: a change since then is notified soon, as at any time. */
    FRESH,
    /**
     * Nodes may be sent to, and are verified by the handshake; new objects go only to verified
     * ones.
     */
    AGED,
    /** Every node is probed before any operation goes to it. */
    OLD
}
