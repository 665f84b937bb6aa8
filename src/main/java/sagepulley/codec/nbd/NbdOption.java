package sagepulley.codec.nbd;

import io.netty.buffer.ByteBuf;

/** An option of the handshake; its data is null where it was too long to be kept. */
record NbdOption(int code, ByteBuf data) {}
