package sagepulley.membership;

/** How far a list is believed, by the time since a directory confirmed it. */
public enum ListFreshness {
    /** As it is: what has changed since is told soon, as on any day. */
    FRESH,
    /**
     * Nodes may be sent to, and prove on connecting who they are; new objects go only where one
     * has.
     */
    AGED,
    /** Every node is asked first, few at a time, before any operation goes to it. */
    OLD
}
