package sagepulley.codec.nbd;

/** Event that is fired when the handshake has completed and requests for this export follow. */
public record AttachedExport(Export export, boolean structured, boolean baseAllocation) {}
