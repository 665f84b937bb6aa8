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

    /**
     * Adds one part for each extent that the request covers. Each part owns a slice of the payload.
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
                        ? settings.writeTrafficClass()
                        : remaining >= settings.bulkThresholdBytes()
                                ? settings.bulkTrafficClass()
                                : settings.readTrafficClass();
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

    /** Adds one flush part for each cell that may hold unflushed writes of the volume. */
    void splitFlush(PendingRequest request) {
        request.volume.unflushedWrites.forEachTarget(
                target -> {
                    RequestPart part = newFlushPart(request, target.cell());
                    part.flushTarget = target;
                    request.parts.add(part);
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
