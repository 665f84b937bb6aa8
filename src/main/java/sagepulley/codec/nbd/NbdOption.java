package sagepulley.codec.nbd;

import io.netty.buffer.ByteBuf;

/** A negotiation option of a client; the data is null if it was too long and was skipped. */
record NbdOption(int code, ByteBuf data) {}
