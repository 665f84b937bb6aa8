package sagepulley.frontend.nbd;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import sagepulley.codec.nbd.Nbd;
import sagepulley.config.Site;
import sagepulley.config.VolumeLine;
import sagepulley.model.Band;
import sagepulley.model.Deployment;
import sagepulley.model.Operation;
import sagepulley.placement.Holders;
import sagepulley.upstream.frame.StoreWire;

/** Checks requests as the protocol text asks, and splits them at extent edges into operations. */
final class Splitter {
    private static final int KNOWN_FLAGS =
            Nbd.CMD_FLAG_FUA | Nbd.CMD_FLAG_NO_HOLE | Nbd.CMD_FLAG_DF | Nbd.CMD_FLAG_REQ_ONE;

    private final Deployment deployment;
    private final int extentBytes;
    private final int unitBytes;
    private long ids;

    Splitter(Site site) {
        this.deployment = site.deployment();
        this.extentBytes = site.extentBytes();
        this.unitBytes = site.unitBytes();
    }

    /** A request that is answered with an error as it stands, or null if it may go on. */
    static Request.Failed wrong(
            int command,
            int flags,
            long offset,
            long length,
            Disk disk,
            boolean structured,
            boolean baseAllocation) {
        VolumeLine line = disk.line;
        if (command > Nbd.CMD_BLOCK_STATUS || command == Nbd.CMD_CACHE) {
            return new Request.Failed(-1, Nbd.EINVAL, "command " + command + " is not served here");
        }
        if ((flags & ~KNOWN_FLAGS) != 0) {
            return new Request.Failed(
                    -1,
                    Nbd.EINVAL,
                    "command flags 0x" + Integer.toHexString(flags) + " are not served here");
        }
        if ((flags & Nbd.CMD_FLAG_DF) != 0 && !(structured && command == Nbd.CMD_READ)) {
            return new Request.Failed(-1, Nbd.EINVAL, "DF is for reads with structured replies");
        }
        if ((flags & Nbd.CMD_FLAG_NO_HOLE) != 0 && command != Nbd.CMD_WRITE_ZEROES
                || (flags & Nbd.CMD_FLAG_REQ_ONE) != 0 && command != Nbd.CMD_BLOCK_STATUS) {
            return new Request.Failed(-1, Nbd.EINVAL, "a flag of another command");
        }
        if (command == Nbd.CMD_FLUSH) {
            return offset == 0 && length == 0
                    ? null
                    : new Request.Failed(-1, Nbd.EINVAL, "a flush has neither offset nor length");
        }
        boolean changes =
                command == Nbd.CMD_WRITE
                        || command == Nbd.CMD_TRIM
                        || command == Nbd.CMD_WRITE_ZEROES;
        if (changes && line.readOnly()) {
            return new Request.Failed(-1, Nbd.EPERM, "the export is read-only");
        }
        if (command == Nbd.CMD_BLOCK_STATUS && !baseAllocation) {
            return new Request.Failed(-1, Nbd.EINVAL, "no metadata context was chosen");
        }
        if (length == 0) {
            return new Request.Failed(-1, Nbd.EINVAL, "a length of zero");
        }
        if (offset < 0 || offset > line.size() || length > line.size() - offset) {
            int error =
                    command == Nbd.CMD_WRITE || command == Nbd.CMD_WRITE_ZEROES
                            ? Nbd.ENOSPC
                            : Nbd.EINVAL;
            return new Request.Failed(-1, error, "past the end of the export at " + line.size());
        }
        if ((offset | length) % disk.export.leastBlock() != 0) {
            return new Request.Failed(
                    -1, Nbd.EINVAL, "not aligned to " + disk.export.leastBlock() + " bytes");
        }
        if ((command == Nbd.CMD_READ || command == Nbd.CMD_WRITE)
                && length > disk.export.mostBlock()) {
            return new Request.Failed(
                    -1,
                    command == Nbd.CMD_READ ? Nbd.EOVERFLOW : Nbd.EINVAL,
                    "longer than " + disk.export.mostBlock() + " bytes");
        }
        return null;
    }

    /**
     * Adds the request's parts, one for each extent that it touches; payloads are slices with
     * owners.
     */
    void split(Request request) {
        long offset = request.asked.offset();
        long left = Integer.toUnsignedLong(request.asked.length());
        ByteBuf payload = request.asked.payload();
        StoreWire.Kind kind =
                switch (request.asked.command()) {
                    case Nbd.CMD_READ -> StoreWire.Kind.READ;
                    case Nbd.CMD_WRITE -> StoreWire.Kind.WRITE;
                    case Nbd.CMD_TRIM -> StoreWire.Kind.TRIM;
                    default -> StoreWire.Kind.ZERO;
                };
        VolumeLine line = request.disk.line;
        int band =
                kind.changes()
                        ? line.writeBand()
                        : left >= line.bulkFrom() ? line.bulkBand() : line.readBand();
        while (left > 0) {
            long extent = offset / extentBytes;
            int inside = (int) (offset % extentBytes);
            int length = (int) Math.min(left, extentBytes - inside);
            ByteBuf slice =
                    kind == StoreWire.Kind.WRITE
                            ? payload.readRetainedSlice(length)
                            : Unpooled.EMPTY_BUFFER;
            request.parts.add(part(request, kind, band, extent, inside, length, offset, slice));
            offset += length;
            left -= length;
        }
    }

    /** A flush of what one cell's node has of the volume. */
    Part flush(Request request, int cell) {
        Part part =
                part(
                        request,
                        StoreWire.Kind.FLUSH,
                        request.disk.line.writeBand(),
                        0,
                        0,
                        0,
                        -1,
                        Unpooled.EMPTY_BUFFER);
        part.operation.shard = cell;
        return part;
    }

    private Part part(
            Request request,
            StoreWire.Kind kind,
            int bandIndex,
            long extent,
            int inside,
            int length,
            long at,
            ByteBuf payload) {
        Band band = deployment.bands().get(bandIndex);
        // What moves no data still costs the node a look.
        double units =
                kind == StoreWire.Kind.READ || kind == StoreWire.Kind.WRITE
                        ? Math.max(1, Math.ceil((double) length / unitBytes))
                        : 1;
        long key = kind == StoreWire.Kind.FLUSH ? 0 : Holders.key(request.disk.line.id(), extent);
        Operation operation =
                new Operation(
                        ++ids,
                        band,
                        request.disk.volume,
                        key,
                        units,
                        -1,
                        request.arrivedAt,
                        request.arrivedAt + band.patience(),
                        false);
        return new Part(request, operation, kind, extent, inside, length, at, payload);
    }
}
