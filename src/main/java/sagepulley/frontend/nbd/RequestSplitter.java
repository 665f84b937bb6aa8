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

/**
 * Splits requests at extent boundaries into parts, one operation each. Confined to the engine's
 * event loop.
 */
final class RequestSplitter {
    private final Deployment deployment;
    private final int extentBytes;
    private final int unitBytes;
    private long lastOperationId;

    RequestSplitter(SiteConfig site) {
        this.deployment = site.deployment();
        this.extentBytes = site.extentBytes();
        this.unitBytes = site.unitBytes();
    }

    /** Begins to split a request, whose payload it owns until the last part is made. */
    void begin(PendingRequest request) {
        request.nextOffset = request.command.offset();
        request.unsplitBytes = Integer.toUnsignedLong(request.command.length());
        if (request.unsplitBytes == 0) {
            request.command.payload().release();
        }
    }

    /**
     * Makes the next part of a request that has bytes left, up to the end of an extent. The part
     * owns a slice of the payload.
     */
    RequestPart next(PendingRequest request) {
        StoreMessages.Kind kind = kind(request);
        long offset = request.nextOffset;
        int offsetInExtent = (int) (offset % extentBytes);
        int length = (int) Math.min(request.unsplitBytes, extentBytes - offsetInExtent);
        ByteBuf payload = request.command.payload();
        RequestPart part =
                newPart(
                        request,
                        kind,
                        trafficClassIndex(request),
                        offset / extentBytes,
                        offsetInExtent,
                        length,
                        offset,
                        kind == StoreMessages.Kind.WRITE
                                ? payload.readRetainedSlice(length)
                                : Unpooled.EMPTY_BUFFER);
        request.nextOffset += length;
        request.unsplitBytes -= length;
        if (request.unsplitBytes == 0) {
            payload.release();
        }
        request.openParts.add(part);
        return part;
    }

    /** Returns the traffic class of a request's parts. */
    TrafficClass trafficClass(PendingRequest request) {
        return deployment.trafficClasses().get(trafficClassIndex(request));
    }

    /** Returns the key of the extent of the next part of a request. */
    long firstKey(PendingRequest request) {
        return key(request, request.nextOffset);
    }

    /** Returns the key of the extent of the last part of a request. */
    long lastKey(PendingRequest request) {
        return key(request, request.nextOffset + request.unsplitBytes - 1);
    }

    private long key(PendingRequest request, long offset) {
        return ExtentHolders.key(request.volume.settings.id(), offset / extentBytes);
    }

    private static StoreMessages.Kind kind(PendingRequest request) {
        return switch (request.command.command()) {
            case NbdConstants.CMD_READ -> StoreMessages.Kind.READ;
            case NbdConstants.CMD_WRITE -> StoreMessages.Kind.WRITE;
            case NbdConstants.CMD_TRIM -> StoreMessages.Kind.TRIM;
            default -> StoreMessages.Kind.ZERO;
        };
    }

    private static int trafficClassIndex(PendingRequest request) {
        VolumeSettings settings = request.volume.settings;
        if (kind(request).modifiesData()) {
            return settings.writeTrafficClass();
        }
        long bytes = Integer.toUnsignedLong(request.command.length());
        return bytes >= settings.bulkThresholdBytes()
                ? settings.bulkTrafficClass()
                : settings.readTrafficClass();
    }

    /** Adds one flush part for each cell that may hold unflushed writes of the volume. */
    void splitFlush(PendingRequest request) {
        request.volume.unflushedWrites.forEachTarget(
                target -> {
                    RequestPart part = newFlushPart(request, target.cell());
                    part.flushTarget = target;
                    request.openParts.add(part);
                });
    }

    /** Returns a part that flushes the volume's writes at one cell's node. */
    private RequestPart newFlushPart(PendingRequest request, int cell) {
        RequestPart part =
                newPart(
                        request,
                        StoreMessages.Kind.FLUSH,
                        request.volume.settings.writeTrafficClass(),
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
        // Commands without data cost one unit.
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
