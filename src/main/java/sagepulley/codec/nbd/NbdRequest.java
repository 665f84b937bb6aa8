package sagepulley.codec.nbd;

import io.netty.buffer.ByteBuf;

/**
 * A request of the transmission phase ('Request message'), as it came: nothing is checked but the
 * magic and the payload's length. Offset and length are unsigned. The payload belongs to whoever
 * holds the request; it is empty for all but writes. Admitted is what the gate counted for it, in
 * bytes.
 */
public record NbdRequest(
        int flags,
        int command,
        long cookie,
        long offset,
        int length,
        ByteBuf payload,
        long admitted) {}
