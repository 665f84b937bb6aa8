package sagepulley.frontend.nbd;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.config.SiteConfig;
import sagepulley.config.VolumeSettings;
import sagepulley.model.Deployment;
import sagepulley.model.Operation;
import sagepulley.model.TrafficClass;
import sagepulley.placement.ExtentHolders;
import sagepulley.upstream.frame.StoreMessages;

/** Checks requests as the protocol text asks, and splits them at extent edges into operations. */
final class RequestSplitter {
    private static final int KNOWN_FLAGS =
            NbdConstants.CMD_FLAG_FUA
                    | NbdConstants.CMD_FLAG_NO_HOLE
                    | NbdConstants.CMD_FLAG_DF
                    | NbdConstants.CMD_FLAG_REQ_ONE;

    private final Deployment deployment;
    private final int extentBytes;
    private final int unitBytes;
    private long lastOperationId;

    RequestSplitter(SiteConfig site) {
        this.deployment = site.deployment();
        this.extentBytes = site.extentBytes();
        this.unitBytes = site.unitBytes();
    }

    /** A request that is answered with an error as it stands, or null if it may go on. */
    static PendingRequest.RequestError validate(
            int command,
            int flags,
            long offset,
            long length,
            ExportedVolume volume,
            boolean structured,
            boolean baseAllocation) {
        VolumeSettings settings = volume.settings;
        if (command > NbdConstants.CMD_BLOCK_STATUS || command == NbdConstants.CMD_CACHE) {
            return new PendingRequest.RequestError(
                    -1, NbdConstants.EINVAL, "command " + command + " is not served here");
        }
        if ((flags & ~KNOWN_FLAGS) != 0) {
            return new PendingRequest.RequestError(
                    -1,
                    NbdConstants.EINVAL,
                    "command flags 0x" + Integer.toHexString(flags) + " are not served here");
        }
        if ((flags & NbdConstants.CMD_FLAG_DF) != 0
                && !(structured && command == NbdConstants.CMD_READ)) {
            return new PendingRequest.RequestError(
                    -1, NbdConstants.EINVAL, "DF is for reads with structured replies");
        }
        if (((flags & NbdConstants.CMD_FLAG_NO_HOLE) != 0
                        && command != NbdConstants.CMD_WRITE_ZEROES)
                || ((flags & NbdConstants.CMD_FLAG_REQ_ONE) != 0
                        && command != NbdConstants.CMD_BLOCK_STATUS)) {
            return new PendingRequest.RequestError(
                    -1, NbdConstants.EINVAL, "a flag of another command");
        }
        if (command == NbdConstants.CMD_FLUSH) {
            return offset == 0 && length == 0
                    ? null
                    : new PendingRequest.RequestError(
                            -1, NbdConstants.EINVAL, "a flush has neither offset nor length");
        }
        boolean modifiesData =
                command == NbdConstants.CMD_WRITE
                        || command == NbdConstants.CMD_TRIM
                        || command == NbdConstants.CMD_WRITE_ZEROES;
        if (modifiesData && settings.readOnly()) {
            return new PendingRequest.RequestError(
                    -1, NbdConstants.EPERM, "the export is read-only");
        }
        if (command == NbdConstants.CMD_BLOCK_STATUS && !baseAllocation) {
            return new PendingRequest.RequestError(
                    -1, NbdConstants.EINVAL, "no metadata context was chosen");
        }
        if (length == 0) {
            return new PendingRequest.RequestError(-1, NbdConstants.EINVAL, "a length of zero");
        }
        if (offset < 0 || offset > settings.size() || length > settings.size() - offset) {
            int error =
                    command == NbdConstants.CMD_WRITE || command == NbdConstants.CMD_WRITE_ZEROES
                            ? NbdConstants.ENOSPC
                            : NbdConstants.EINVAL;
            return new PendingRequest.RequestError(
                    -1, error, "past the end of the export at " + settings.size());
        }
        if ((offset | length) % volume.export.minBlockSize() != 0) {
            return new PendingRequest.RequestError(
                    -1,
                    NbdConstants.EINVAL,
                    "not aligned to " + volume.export.minBlockSize() + " bytes");
        }
        if ((command == NbdConstants.CMD_READ || command == NbdConstants.CMD_WRITE)
                && length > volume.export.maxBlockSize()) {
            return new PendingRequest.RequestError(
                    -1,
                    command == NbdConstants.CMD_READ ? NbdConstants.EOVERFLOW : NbdConstants.EINVAL,
                    "longer than " + volume.export.maxBlockSize() + " bytes");
        }
        return null;
    }

    /**
     * Adds the request's parts, one for each extent that it touches; payloads are slices with
     * owners.
     */
    void split(PendingRequest request) {
        long offset = request.command.offset();
        long remaining = Integer.toUnsignedLong(request.command.length());
        ByteBuf payload = request.command.payload();
        StoreMessages.Kind kind =
                switch (request.command.command()) {
                    case NbdConstants.CMD_READ -> StoreMessages.Kind.READ;
                    case NbdConstants.CMD_WRITE -> StoreMessages.Kind.WRITE;
                    case NbdConstants.CMD_TRIM -> StoreMessages.Kind.TRIM;
                    default -> StoreMessages.Kind.ZERO;
                };
        VolumeSettings settings = request.volume.settings;
        int trafficClassIndex =
                kind.modifiesData()
                        ? settings.writeBand()
                        : remaining >= settings.bulkFrom()
                                ? settings.bulkBand()
                                : settings.readBand();
        while (remaining > 0) {
            long extent = offset / extentBytes;
            int offsetInExtent = (int) (offset % extentBytes);
            int length = (int) Math.min(remaining, extentBytes - offsetInExtent);
            ByteBuf slice =
                    kind == StoreMessages.Kind.WRITE
                            ? payload.readRetainedSlice(length)
                            : Unpooled.EMPTY_BUFFER;
            request.parts.add(
                    newPart(
                            request,
                            kind,
                            trafficClassIndex,
                            extent,
                            offsetInExtent,
                            length,
                            offset,
                            slice));
            offset += length;
            remaining -= length;
        }
    }

    /** Adds a flush for each node that acknowledged writes since the last flush there. */
    void splitFlush(PendingRequest request) {
        request.volume.unflushedByCell.forEach(
                (cell, unflushed) -> {
                    RequestPart part = newFlushPart(request, cell);
                    part.writesBeforeFlush = unflushed.writeCount;
                    part.expectedNodeStart = unflushed.nodeStartedAt;
                    request.parts.add(part);
                });
    }

    /** A flush of what one cell's node has of the volume. */
    private RequestPart newFlushPart(PendingRequest request, int cell) {
        RequestPart part =
                newPart(
                        request,
                        StoreMessages.Kind.FLUSH,
                        request.volume.settings.writeBand(),
                        0,
                        0,
                        0,
                        -1,
                        Unpooled.EMPTY_BUFFER);
        part.operation.shard = cell;
        return part;
    }

    private RequestPart newPart(
            PendingRequest request,
            StoreMessages.Kind kind,
            int trafficClassIndex,
            long extent,
            int offsetInExtent,
            int length,
            long exportOffset,
            ByteBuf payload) {
        TrafficClass trafficClass = deployment.trafficClasses().get(trafficClassIndex);
        // What moves no data still costs the node a look.
        double units =
                kind == StoreMessages.Kind.READ || kind == StoreMessages.Kind.WRITE
                        ? Math.max(1, Math.ceil((double) length / unitBytes))
                        : 1;
        long extentKey =
                kind == StoreMessages.Kind.FLUSH
                        ? 0
                        : ExtentHolders.key(request.volume.settings.id(), extent);
        Operation operation =
                new Operation(
                        ++lastOperationId,
                        trafficClass,
                        request.volume.volume,
                        extentKey,
                        units,
                        -1,
                        request.arrivedAt,
                        request.arrivedAt + trafficClass.deadline(),
                        false);
        return new RequestPart(
                request, operation, kind, extent, offsetInExtent, length, exportOffset, payload);
    }
}
