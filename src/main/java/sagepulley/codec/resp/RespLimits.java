package sagepulley.codec.resp;

/**
 * The largest values that are accepted.
 *
 * @param maxArrayBytes bytes of all items of an array together
 * @param commandsOnly whether only arrays of bulk strings are accepted, as clients send them
 */
public record RespLimits(
        int maxLineBytes, int maxBulkBytes, int maxArrayBytes, int maxItems, boolean commandsOnly) {
    /** The longest value of a piece of data that a command or a reply may carry. */
    public static final int MAX_VALUE_BYTES = 65_536;

    /** Limits for what clients send. */
    public static RespLimits commands(int maxLineBytes, int maxBulkBytes, int maxArrayBytes, int maxItems) {
        return new RespLimits(maxLineBytes, maxBulkBytes, maxArrayBytes, maxItems, true);
    }

    /** Limits for what servers send. */
    public static RespLimits replies(int maxLineBytes, int maxBulkBytes, int maxArrayBytes, int maxItems) {
        return new RespLimits(maxLineBytes, maxBulkBytes, maxArrayBytes, maxItems, false);
    }
}
