package sagepulley.codec.nbd;

import io.netty.buffer.ByteBuf;

/**
 * A request of the transmission phase ('Request message'). Only the magic and the length of a write
 * are validated. Offset and length are unsigned. The payload is owned by the receiver of the
 * request and is empty except for writes.
 *
 * @param admitted the bytes that the admission gate counted for the request; 0 if the payload was
 *     too long and was skipped
 */
public record NbdRequest(
        int flags,
        int command,
        long cookie,
        long offset,
        int length,
        ByteBuf payload,
        long admitted) {}
