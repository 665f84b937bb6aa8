package sagepulley.codec.resp;

/**
 * Limits on the size of decoded values.
 *
 * @param maxArrayBytes maximum total size of the bulk strings of an array in bytes
 * @param commandsOnly whether only arrays of bulk strings are accepted, as clients send them
 */
public record RespLimits(
        int maxLineBytes, int maxBulkBytes, int maxArrayBytes, int maxItems, boolean commandsOnly) {
    /** Maximum size in bytes of the data in a command or a reply. */
    public static final int MAX_VALUE_BYTES = 65_536;

    /** Returns limits for input from clients. */
    public static RespLimits commands(
            int maxLineBytes, int maxBulkBytes, int maxArrayBytes, int maxItems) {
        return new RespLimits(maxLineBytes, maxBulkBytes, maxArrayBytes, maxItems, true);
    }

    /** Returns limits for input from servers. */
    public static RespLimits replies(
            int maxLineBytes, int maxBulkBytes, int maxArrayBytes, int maxItems) {
        return new RespLimits(maxLineBytes, maxBulkBytes, maxArrayBytes, maxItems, false);
    }
}
