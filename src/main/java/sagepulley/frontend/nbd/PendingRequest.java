package sagepulley.frontend.nbd;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import sagepulley.codec.nbd.NbdConstants;
import sagepulley.codec.nbd.NbdRequest;

/**
 * An NBD request in hand. Its one reply is written when all its parts have ended; what several
 * parts say is folded here: of errors the gravest counts (scrapped over declined), and each tells
 * its own offset.
 */
final class PendingRequest {
    /** What a part of a read brought: data, or a hole of so many bytes where the data is null. */
    record Found(long at, int length, ByteBuf data) {}

    /** A part that failed. */
    record Failed(long at, int error, String why) {}

    final NbdSession session;
    final NbdRequest asked;
    final ExportedVolume disk;
    final double arrivedAt;
    final List<RequestPart> parts = new ArrayList<>(1);
    final List<Found> found = new ArrayList<>(1);
    final List<Failed> failed = new ArrayList<>(0);

    /** Lengths and flags, for a block status. */
    int[] blocks;

    int open;

    PendingRequest(NbdSession session, NbdRequest asked, ExportedVolume disk, double arrivedAt) {
        this.session = session;
        this.asked = asked;
        this.disk = disk;
        this.arrivedAt = arrivedAt;
    }

    void fail(long at, int error, String why) {
        failed.add(new Failed(at, error, why));
    }

    /** The error of the whole: 0 if all went well. */
    int error() {
        int worst = 0;
        for (Failed part : failed) {
            if (worst == 0 || worst == NbdConstants.ENOMEM) {
                worst = part.error();
            }
        }
        return worst;
    }

    /** Gives back data that nobody will get. */
    void release() {
        for (Found part : found) {
            if (part.data() != null) {
                part.data().release();
            }
        }
        found.clear();
    }
}
