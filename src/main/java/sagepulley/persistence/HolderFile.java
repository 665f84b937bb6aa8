package sagepulley.persistence;

import com.github.luben.zstd.Zstd;
import com.github.luben.zstd.ZstdException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which cell holds which extent, on disk: for each volume the cells of its extents in a row (-1:
 * not known), written as runs and compressed. Of one site; one earlier generation is kept.
 */
public final class HolderFile {
    /** Extents of all volumes together that are kept at most. */
    public static final int MAX_EXTENTS = 1 << 22;

    private static final int MOST_VOLUMES = 1 << 16;
    private static final int LEVEL = 3;
    private static final Logger LOG = LoggerFactory.getLogger(HolderFile.class);

    private final SnapshotFile generations;

    public HolderFile(Path file, String site) {
        this.generations = new SnapshotFile(file, "holders", 1, site, 1);
    }

    public void write(Map<Integer, int[]> cells, long now) throws IOException {
        generations.write(Zstd.compress(plain(cells), LEVEL), now);
    }

    /** As they were kept; empty if nothing can be believed. */
    public Map<Integer, int[]> load() {
        SnapshotFile.ReadResult reading = generations.read();
        for (SnapshotFile.Rejected refused : reading.rejected()) {
            aside(refused.file(), refused.reason());
        }
        if (reading.snapshot() == null) {
            return Map.of();
        }
        try {
            return cells(reading.snapshot().body());
        } catch (IOException e) {
            aside(reading.snapshot().file(), e.getMessage());
            return Map.of();
        }
    }

    private void aside(Path file, String why) {
        try {
            LOG.atWarn()
                    .addKeyValue("file", file)
                    .addKeyValue("why", why)
                    .addKeyValue("aside", generations.setAside(file))
                    .log("holders not believed, set aside");
        } catch (IOException e) {
            LOG.atWarn()
                    .addKeyValue("file", file)
                    .addKeyValue("why", e.toString())
                    .log("holders not believed");
        }
    }

    static byte[] plain(Map<Integer, int[]> volumes) {
        int length = 4;
        for (int[] cells : volumes.values()) {
            length += 12 + 8 * runs(cells);
        }
        ByteBuffer to = ByteBuffer.allocate(length).putInt(volumes.size());
        volumes.forEach(
                (volume, cells) -> {
                    to.putInt(volume).putInt(cells.length).putInt(runs(cells));
                    for (int at = 0; at < cells.length; ) {
                        int end = at + 1;
                        while (end < cells.length && cells[end] == cells[at]) {
                            end++;
                        }
                        to.putInt(cells[at]).putInt(end - at);
                        at = end;
                    }
                });
        return to.array();
    }

    private static int runs(int[] cells) {
        int runs = cells.length == 0 ? 0 : 1;
        for (int i = 1; i < cells.length; i++) {
            runs += cells[i] == cells[i - 1] ? 0 : 1;
        }
        return runs;
    }

    static Map<Integer, int[]> cells(byte[] body) throws IOException {
        long size = Zstd.getFrameContentSize(body);
        if (size < 4 || size > 4 + 12L * MOST_VOLUMES + 8L * MAX_EXTENTS) {
            throw new IOException("holders of " + size + " bytes can be none");
        }
        ByteBuffer from;
        try {
            from = ByteBuffer.wrap(Zstd.decompress(body, (int) size));
        } catch (ZstdException e) {
            throw new IOException("holders cannot be unpacked: " + e.getMessage(), e);
        }
        Map<Integer, int[]> volumes = new LinkedHashMap<>();
        int count = from.getInt();
        long all = 0;
        for (int i = 0; i < count; i++) {
            if (from.remaining() < 12) {
                throw new IOException("holders are cut off");
            }
            int volume = from.getInt();
            int length = from.getInt();
            int runs = from.getInt();
            all += length;
            if (length < 0 || all > MAX_EXTENTS || runs < 0 || from.remaining() < 8L * runs) {
                throw new IOException("holders of volume " + volume + " do not fit");
            }
            int[] cells = new int[length];
            int at = 0;
            for (int run = 0; run < runs; run++) {
                int cell = from.getInt();
                int times = from.getInt();
                if (times < 1 || times > length - at || cell < -1) {
                    throw new IOException("holders of volume " + volume + " do not fit");
                }
                java.util.Arrays.fill(cells, at, at + times, cell);
                at += times;
            }
            if (at != length) {
                throw new IOException("holders of volume " + volume + " are cut off");
            }
            volumes.put(volume, cells);
        }
        return volumes;
    }
}
