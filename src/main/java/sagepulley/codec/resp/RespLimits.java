package sagepulley.codec.resp;

/**
 * The most that is taken: bytes of a line, of a bulk string and of all that an array holds, and
 * items of an array. With commandsOnly, nothing but arrays of bulk strings is taken, as clients
 * send them.
 */
public record RespLimits(
        int maxLineBytes, int maxBulkBytes, int maxArrayBytes, int maxItems, boolean commandsOnly) {
    /** The longest value of a piece of data that a command or a reply may carry. */
    public static final int MAX_VALUE_BYTES = 65_536;

    public static RespLimits commands(int line, int bulk, int array, int items) {
        return new RespLimits(line, bulk, array, items, true);
    }

    public static RespLimits replies(int line, int bulk, int array, int items) {
        return new RespLimits(line, bulk, array, items, false);
    }
}
