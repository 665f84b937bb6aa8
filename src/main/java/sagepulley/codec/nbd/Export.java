package sagepulley.codec.nbd;

/**
 * What the handshake tells of one export. Sizes are bytes; block sizes are those of 'Block size
 * constraints': requests are multiples of the least, at best of the preferred, and carry or ask for
 * no more than the most.
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

    /** The transmission flags, 'Transmission flags'. */
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
