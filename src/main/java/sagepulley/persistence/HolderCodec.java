package sagepulley.persistence;

import com.github.luben.zstd.Zstd;
import com.github.luben.zstd.ZstdException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Encodes and decodes the body of a holder file.
 *
 * <p>The body is compressed with zstd and consists of big-endian 32-bit integers: the number of
 * volumes; for each volume its id, its number of extents and its number of runs; for each run of
 * consecutive extents with the same holder, the cell and the length of the run.
 */
final class HolderCodec {
    static final int MAX_EXTENTS = 1 << 22;

    private static final int MAX_VOLUMES = 1 << 16;
    private static final int COMPRESSION_LEVEL = 3;
    private static final int BODY_HEADER_BYTES = Integer.BYTES;
    private static final int VOLUME_HEADER_BYTES = 3 * Integer.BYTES;
    private static final int RUN_BYTES = 2 * Integer.BYTES;
    private static final long MAX_BYTES =
            BODY_HEADER_BYTES
                    + (long) VOLUME_HEADER_BYTES * MAX_VOLUMES
                    + (long) RUN_BYTES * MAX_EXTENTS;

    /** Stored in place of an unknown cell. */
    private static final int UNKNOWN_CELL = -1;

    private HolderCodec() {}

    static byte[] encode(Map<Integer, int[]> volumes) {
        int length = BODY_HEADER_BYTES;
        for (int[] cells : volumes.values()) {
            length += VOLUME_HEADER_BYTES + RUN_BYTES * countRuns(cells);
        }
        ByteBuffer buffer = ByteBuffer.allocate(length).putInt(volumes.size());
        volumes.forEach(
                (volume, cells) -> {
                    buffer.putInt(volume).putInt(cells.length).putInt(countRuns(cells));
                    writeRuns(cells, buffer);
                });
        return Zstd.compress(buffer.array(), COMPRESSION_LEVEL);
    }

    private static void writeRuns(int[] cells, ByteBuffer buffer) {
        int start = 0;
        while (start < cells.length) {
            int end = start + 1;
            while (end < cells.length && cells[end] == cells[start]) {
                end++;
            }
            buffer.putInt(cells[start]).putInt(end - start);
            start = end;
        }
    }

    private static int countRuns(int[] cells) {
        int runs = cells.length == 0 ? 0 : 1;
        for (int i = 1; i < cells.length; i++) {
            runs += cells[i] == cells[i - 1] ? 0 : 1;
        }
        return runs;
    }

    /**
     * Returns the cells of each volume's extents, by volume id.
     *
     * @param file the file that an exception names
     * @throws InvalidSnapshotException if the body is malformed
     */
    static Map<Integer, int[]> decode(byte[] body, Path file) throws InvalidSnapshotException {
        ByteBuffer buffer = ByteBuffer.wrap(decompress(body, file));
        Map<Integer, int[]> volumes = new LinkedHashMap<>();
        int volumeCount = buffer.getInt();
        long totalExtents = 0;
        for (int i = 0; i < volumeCount; i++) {
            if (buffer.remaining() < VOLUME_HEADER_BYTES) {
                throw new InvalidSnapshotException(
                        file,
                        "holders are truncated after " + i + " of " + volumeCount + " volumes");
            }
            int volume = buffer.getInt();
            int length = buffer.getInt();
            int runs = buffer.getInt();
            totalExtents += length;
            if (length < 0
                    || totalExtents > MAX_EXTENTS
                    || runs < 0
                    || buffer.remaining() < (long) RUN_BYTES * runs) {
                throw new InvalidSnapshotException(
                        file,
                        "invalid holders of volume "
                                + volume
                                + ": "
                                + length
                                + " extents in "
                                + runs
                                + " runs");
            }
            volumes.put(volume, readRuns(buffer, volume, length, runs, file));
        }
        return volumes;
    }

    private static byte[] decompress(byte[] body, Path file) throws InvalidSnapshotException {
        long size = Zstd.getFrameContentSize(body);
        if (size < BODY_HEADER_BYTES || size > MAX_BYTES) {
            throw new InvalidSnapshotException(
                    file,
                    "uncompressed size of the holders is "
                            + size
                            + " bytes, expected "
                            + BODY_HEADER_BYTES
                            + " to "
                            + MAX_BYTES);
        }
        try {
            return Zstd.decompress(body, (int) size);
        } catch (ZstdException e) {
            throw new InvalidSnapshotException(
                    file, "decompression of the holders failed: " + e.getMessage(), e);
        }
    }

    private static int[] readRuns(ByteBuffer buffer, int volume, int length, int runs, Path file)
            throws InvalidSnapshotException {
        int[] cells = new int[length];
        int start = 0;
        for (int i = 0; i < runs; i++) {
            int cell = buffer.getInt();
            int run = buffer.getInt();
            if (run < 1 || run > length - start || cell < UNKNOWN_CELL) {
                throw new InvalidSnapshotException(
                        file,
                        "invalid run of volume "
                                + volume
                                + ": "
                                + run
                                + " extents in cell "
                                + cell);
            }
            Arrays.fill(cells, start, start + run, cell);
            start += run;
        }
        if (start != length) {
            throw new InvalidSnapshotException(
                    file,
                    "runs of volume " + volume + " cover " + start + " of " + length + " extents");
        }
        return cells;
    }
}
