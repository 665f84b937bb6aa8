package sagepulley.accounts;

/**
 * Who or what made an operation wait. The number is a volume's or a node's, or 0. What was reckoned from a
 * node's answers, and not seen here, is an estimate.
 */
public record Cause(Kind kind, long number, boolean estimate) {
    /** The volume's own load; another volume's; a node slower than the rest; a fault; this gateway's caution. */
    public enum Kind { OWN_LOAD, NEIGHBOUR, SLOW_NODE, FAULT, CAUTION, DIRECTORY, NETWORK, OWN_WORK }

    static Cause of(Kind kind, long number) {
        return new Cause(kind, number, false);
    }
}
