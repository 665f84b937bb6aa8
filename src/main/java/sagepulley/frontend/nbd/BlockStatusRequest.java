package sagepulley.frontend.nbd;

import java.util.ArrayList;
import java.util.List;
import sagepulley.codec.nbd.NbdConstants;

/**
 * The extents that an NBD_CMD_BLOCK_STATUS request covers. Builds the base:allocation descriptors
 * of its reply: an extent without a holder is a hole that reads as zeroes.
 *
 * @param firstExtent index of the first extent in the export
 * @param extentCount number of extents to look up; a longer range is answered in part, which the
 *     NBD protocol allows
 */
record BlockStatusRequest(
        PendingRequest request, int extentBytes, long firstExtent, int extentCount) {
    /** Returns the extents that a request covers, limited to {@code maxExtents}. */
    static BlockStatusRequest of(PendingRequest request, int extentBytes, int maxExtents) {
        long firstExtent = request.command.offset() / extentBytes;
        long lastExtent = (end(request) - 1) / extentBytes;
        int extentCount = (int) Math.min(maxExtents, lastExtent - firstExtent + 1);
        return new BlockStatusRequest(request, extentBytes, firstExtent, extentCount);
    }

    /**
     * Returns alternating lengths in bytes and status flags. Adjacent extents with the same status
     * share one descriptor. With NBD_CMD_FLAG_REQ_ONE only the first descriptor is returned.
     *
     * @param cells the cell that holds each extent, negative for none
     */
    int[] descriptors(int[] cells) {
        List<Integer> descriptors = new ArrayList<>();
        long offset = request.command.offset();
        for (int i = 0; i < cells.length; i++) {
            long extentEnd = Math.min(end(request), (firstExtent + i + 1) * extentBytes);
            append(descriptors, (int) (extentEnd - offset), status(cells[i]));
            offset = extentEnd;
        }
        boolean firstOnly = (request.command.flags() & NbdConstants.CMD_FLAG_REQ_ONE) != 0;
        return descriptors.stream()
                .limit(firstOnly ? 2 : Long.MAX_VALUE)
                .mapToInt(Integer::intValue)
                .toArray();
    }

    private static void append(List<Integer> descriptors, int length, int status) {
        int last = descriptors.size() - 1;
        if (last > 0 && descriptors.get(last) == status) {
            descriptors.set(last - 1, descriptors.get(last - 1) + length);
        } else {
            descriptors.add(length);
            descriptors.add(status);
        }
    }

    private static int status(int cell) {
        return cell < 0 ? NbdConstants.STATE_HOLE | NbdConstants.STATE_ZERO : 0;
    }

    private static long end(PendingRequest request) {
        return request.command.offset() + Integer.toUnsignedLong(request.command.length());
    }
}
