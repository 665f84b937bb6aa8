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
        int leastBlock,
        int preferredBlock,
        int mostBlock) {

    /** The transmission flags, 'Transmission flags'. */
    public int flags(boolean structured) {
        int flags = Nbd.HAS_FLAGS | Nbd.SEND_FLUSH | Nbd.SEND_FUA;
        flags |= readOnly ? Nbd.READ_ONLY : Nbd.SEND_TRIM | Nbd.SEND_WRITE_ZEROES;
        if (structured) {
            flags |= Nbd.SEND_DF;
        }
        return multiConn ? flags | Nbd.CAN_MULTI_CONN : flags;
    }
}
