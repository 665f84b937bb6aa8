package sagepulley.codec.nbd;

/**
 * An export as announced in the handshake. Sizes are bytes. The block sizes are those of 'Block
 * size constraints': requests must be multiples of the minimum, should be multiples of the
 * preferred size, and must not transfer more than the maximum.
 */
public record Export(
        String name,
        String description,
        long size,
        boolean readOnly,
        boolean multiConn,
        int minBlockSize,
        int preferredBlockSize,
        int maxBlockSize) {

    /** Returns the transmission flags ('Transmission flags'). */
    public int flags(boolean structured) {
        int flags = NbdConstants.HAS_FLAGS | NbdConstants.SEND_FLUSH | NbdConstants.SEND_FUA;
        flags |=
                readOnly
                        ? NbdConstants.READ_ONLY
                        : NbdConstants.SEND_TRIM | NbdConstants.SEND_WRITE_ZEROES;
        if (structured) {
            flags |= NbdConstants.SEND_DF;
        }
        return multiConn ? flags | NbdConstants.CAN_MULTI_CONN : flags;
    }
}
