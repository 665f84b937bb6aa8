package sagepulley.persistence;

import java.io.IOException;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * A file that is replaced whole and survives a kill at any byte: written beside, forced to the
 * disk, and put in place by renaming, with some earlier generations kept. A line at its head says
 * what it is, whose, how old and how long, with a CRC32C over all else; what does not agree with
 * its head is not believed.
 */
public final class SnapshotFile {
    private static final String MAGIC = "sagepulley";
    private static final int MOST_HEAD = 1024;
    private static final long MOST_BODY = 1L << 30;

    /** The steps of a write, in order; what a test cuts short. */
    public enum Step {
        WRITTEN,
        FORCED,
        OLDER_MOVED,
        MOVED_AWAY,
        PUT_IN_PLACE,
        FOLDER_FORCED
    }

    /** Told after each step of a write; what it throws ends the write there. */
    public interface Steps {
        void done(Step step, int generation) throws IOException;
    }

    /**
     * A body that was found whole, when it was written (wall-clock milliseconds), and its number.
     */
    public record Snapshot(byte[] body, long writtenAt, long number, Path file) {}

    /** A file that is not believed, and why. */
    public record Rejected(Path file, String reason) {}

    /** The newest that can be believed (null if none can) and what could not be. */
    public record ReadResult(Snapshot snapshot, List<Rejected> rejected) {}

    private final Path file;
    private final String kind;
    private final int format;
    private final String owner;
    private final int kept;
    private final Steps steps;
    private long number = -1;

    /**
     * Of this kind and format, of this owner (a site, or a gateway), with so many earlier
     * generations kept.
     */
    public SnapshotFile(Path file, String kind, int format, String owner, int kept) {
        this(file, kind, format, owner, kept, (step, generation) -> {});
    }

    SnapshotFile(Path file, String kind, int format, String owner, int kept, Steps steps) {
        this.file = file.toAbsolutePath();
        this.kind = kind;
        this.format = format;
        this.owner = owner;
        this.kept = kept;
        this.steps = steps;
    }

    private Path generation(int age) {
        return age == 0 ? file : file.resolveSibling(file.getFileName() + "." + age);
    }

    private Path fresh() {
        return file.resolveSibling(file.getFileName() + ".new");
    }

    // ---- writing ----

    /**
     * Puts a new body in place. What fails leaves every earlier generation as it was, or moved up
     * by one.
     */
    public synchronized void write(byte[] body, long writtenAt) throws IOException {
        if (number < 0) {
            ReadResult before = read();
            number = before.snapshot == null ? 0 : before.snapshot.number;
        }
        Files.createDirectories(file.getParent());
        byte[] head = head(body, writtenAt, number + 1);
        try (FileChannel to =
                FileChannel.open(
                        fresh(),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
            writeAll(to, ByteBuffer.wrap(head));
            writeAll(to, ByteBuffer.wrap(body));
            steps.done(Step.WRITTEN, 0);
            to.force(true);
        }
        steps.done(Step.FORCED, 0);
        for (int age = kept; age > 1; age--) {
            moveIfThere(generation(age - 1), generation(age));
            steps.done(Step.OLDER_MOVED, age);
        }
        if (kept > 0) {
            moveIfThere(file, generation(1));
            steps.done(Step.MOVED_AWAY, 1);
        }
        Files.move(
                fresh(), file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        steps.done(Step.PUT_IN_PLACE, 0);
        try (FileChannel folder = FileChannel.open(file.getParent(), StandardOpenOption.READ)) {
            folder.force(true);
        }
        steps.done(Step.FOLDER_FORCED, 0);
        number++;
    }

    private static void writeAll(FileChannel to, ByteBuffer from) throws IOException {
        while (from.hasRemaining()) {
            to.write(from);
        }
    }

    private static void moveIfThere(Path from, Path to) throws IOException {
        if (Files.exists(from)) {
            Files.move(
                    from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        }
    }

    private byte[] head(byte[] body, long writtenAt, long its) {
        String text =
                MAGIC
                        + " "
                        + kind
                        + " "
                        + format
                        + " "
                        + URLEncoder.encode(owner, StandardCharsets.UTF_8)
                        + " "
                        + writtenAt
                        + " "
                        + its
                        + " "
                        + body.length;
        return (text + " " + Integer.toHexString(sum(text, body)) + "\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    private static int sum(String head, byte[] body) {
        CRC32C crc = new CRC32C();
        crc.update(head.getBytes(StandardCharsets.US_ASCII));
        crc.update(body);
        return (int) crc.getValue();
    }

    // ---- reading ----

    /** Looks at every generation: the newest whole one counts. Nothing is changed on the disk. */
    public synchronized ReadResult read() {
        List<Rejected> refused = new ArrayList<>();
        Snapshot best = null;
        for (Path path : candidates()) {
            try {
                Snapshot found = check(path);
                if (best == null || found.number > best.number) {
                    best = found;
                }
            } catch (NoSuchFileException e) {
                // none of that age
            } catch (IOException e) {
                refused.add(
                        new Rejected(path, e.getMessage() == null ? e.toString() : e.getMessage()));
            }
        }
        return new ReadResult(best, refused);
    }

    private List<Path> candidates() {
        List<Path> all = new ArrayList<>();
        all.add(fresh());
        for (int age = 0; age <= kept; age++) {
            all.add(generation(age));
        }
        return all;
    }

    /**
     * Moves what is not believed out of the way, to a name that says so; the latest such one is
     * kept.
     */
    public synchronized Path setAside(Path refused) throws IOException {
        Path aside = refused.resolveSibling(refused.getFileName() + ".set-aside");
        Files.move(refused, aside, StandardCopyOption.REPLACE_EXISTING);
        return aside;
    }

    private Snapshot check(Path path) throws IOException {
        long size = Files.size(path);
        if (size > MOST_BODY + MOST_HEAD) {
            throw new IOException("is longer than such a file can be");
        }
        byte[] all = Files.readAllBytes(path);
        int end = 0;
        while (end < Math.min(all.length, MOST_HEAD) && all[end] != '\n') {
            end++;
        }
        if (end == all.length || end == MOST_HEAD) {
            throw new IOException(
                    all.length == 0 ? "is empty" : "has no head: cut off, or no file of ours");
        }
        String line = new String(all, 0, end, StandardCharsets.US_ASCII);
        String[] words = line.split(" ", -1);
        if (words.length != 8 || !words[0].equals(MAGIC)) {
            throw new IOException("is no file of sagepulley");
        }
        byte[] body = Arrays.copyOfRange(all, end + 1, all.length);
        try {
            // Torn before foreign: of a damaged file nothing that it says is believed.
            if (Long.parseLong(words[6]) != body.length) {
                throw new IOException(
                        "is cut off, or longer than it says: "
                                + body.length
                                + " bytes of "
                                + words[6]);
            }
            if (Integer.parseUnsignedInt(words[7], 16)
                    != sum(line.substring(0, line.lastIndexOf(' ')), body)) {
                throw new IOException("is damaged: its checksum does not agree");
            }
            if (!words[1].equals(kind)) {
                throw new IOException("is a file of another kind: " + words[1]);
            }
            if (Integer.parseInt(words[2]) != format) {
                throw new IOException("has format " + words[2] + ", read is " + format);
            }
            String its = URLDecoder.decode(words[3], StandardCharsets.UTF_8);
            if (!its.equals(owner) && !owner.isEmpty()) {
                throw new IOException("belongs to '" + its + "', not to '" + owner + "'");
            }
            return new Snapshot(body, Long.parseLong(words[4]), Long.parseLong(words[5]), path);
        } catch (IllegalArgumentException e) {
            throw new IOException("has a damaged head", e);
        }
    }
}
