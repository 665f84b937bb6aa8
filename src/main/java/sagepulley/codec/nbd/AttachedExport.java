package sagepulley.codec.nbd;

/** The handshake ended well: from here on the client reads and writes this export. */
public record AttachedExport(Export export, boolean structured, boolean baseAllocation) {}
