package sagepulley.persistence;

import java.io.IOException;
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
import org.slf4j.Logger;

/**
 * A file that is replaced as a whole and survives a kill at any byte: written beside, forced to the
 * disk, and put in place by renaming, with some earlier generations left. A {@link SnapshotHeader}
 * says what it is, whose and how old; a file that does not agree with its header is rejected. Safe
 * for use by several threads.
 */
public final class SnapshotFile {
    private static final long MAX_BODY_BYTES = 1L << 30;

    /** The steps of a write, in order. */
    enum WriteStep {
        TEMPORARY_FILE_WRITTEN,
        TEMPORARY_FILE_SYNCED,
        OLDER_GENERATION_ROTATED,
        CURRENT_GENERATION_ROTATED,
        RENAMED_INTO_PLACE,
        DIRECTORY_SYNCED
    }

    /** Called after each step of a write; what it throws ends the write there. */
    interface WriteListener {
        void stepDone(WriteStep step, int generation) throws IOException;
    }

    /**
     * What a valid file holds.
     *
     * @param writtenAt wall-clock milliseconds
     * @param sequenceNumber counts up with each write
     */
    public record Snapshot(byte[] body, long writtenAt, long sequenceNumber, Path file) {}

    /** A file that cannot be used, and why not. */
    public record Rejected(Path file, String reason) {}

    /** The newest valid snapshot (null if there is none) and the files that cannot be used. */
    public record ReadResult(Snapshot snapshot, List<Rejected> rejected) {}

    private final Path file;
    private final String kind;
    private final int format;
    private final String owner;
    private final int earlierGenerations;
    private final WriteListener listener;

    /** The number of the newest snapshot; -1 before it is known. */
    private long sequenceNumber = -1;

    /**
     * A file on disk, which need not exist yet.
     *
     * @param owner a site or a gateway; empty to read any owner's
     * @param earlierGenerations how many are left beside the newest
     */
    public SnapshotFile(Path file, String kind, int format, String owner, int earlierGenerations) {
        this(file, kind, format, owner, earlierGenerations, (step, generation) -> {});
    }

    SnapshotFile(
            Path file,
            String kind,
            int format,
            String owner,
            int earlierGenerations,
            WriteListener listener) {
        this.file = file.toAbsolutePath();
        this.kind = kind;
        this.format = format;
        this.owner = owner;
        this.earlierGenerations = earlierGenerations;
        this.listener = listener;
    }

    private Path generation(int age) {
        return age == 0 ? file : file.resolveSibling(file.getFileName() + "." + age);
    }

    private Path temporaryFile() {
        return file.resolveSibling(file.getFileName() + ".new");
    }

    // ---- writing ----

    /**
     * Puts a new body in place.
     *
     * @param writtenAt wall-clock milliseconds
     * @throws IOException if that failed; every earlier generation is as it was, or moved up by one
     */
    public synchronized void write(byte[] body, long writtenAt) throws IOException {
        if (sequenceNumber < 0) {
            Snapshot newest = read().snapshot;
            sequenceNumber = newest == null ? 0 : newest.sequenceNumber;
        }
        Files.createDirectories(file.getParent());
        writeTemporary(body, writtenAt);
        rotateGenerations();
        move(temporaryFile(), file);
        listener.stepDone(WriteStep.RENAMED_INTO_PLACE, 0);
        try (FileChannel directory = FileChannel.open(file.getParent(), StandardOpenOption.READ)) {
            directory.force(true);
        }
        listener.stepDone(WriteStep.DIRECTORY_SYNCED, 0);
        sequenceNumber++;
    }

    private void writeTemporary(byte[] body, long writtenAt) throws IOException {
        SnapshotHeader header =
                new SnapshotHeader(kind, format, owner, writtenAt, sequenceNumber + 1);
        try (FileChannel channel =
                FileChannel.open(
                        temporaryFile(),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
            writeFully(channel, ByteBuffer.wrap(header.encode(body)));
            writeFully(channel, ByteBuffer.wrap(body));
            listener.stepDone(WriteStep.TEMPORARY_FILE_WRITTEN, 0);
            channel.force(true);
        }
        listener.stepDone(WriteStep.TEMPORARY_FILE_SYNCED, 0);
    }

    private void rotateGenerations() throws IOException {
        for (int age = earlierGenerations; age > 1; age--) {
            moveIfPresent(generation(age - 1), generation(age));
            listener.stepDone(WriteStep.OLDER_GENERATION_ROTATED, age);
        }
        if (earlierGenerations > 0) {
            moveIfPresent(file, generation(1));
            listener.stepDone(WriteStep.CURRENT_GENERATION_ROTATED, 1);
        }
    }

    private static void writeFully(FileChannel channel, ByteBuffer buffer) throws IOException {
        while (buffer.hasRemaining()) {
            channel.write(buffer);
        }
    }

    private static void moveIfPresent(Path from, Path to) throws IOException {
        if (Files.exists(from)) {
            move(from, to);
        }
    }

    private static void move(Path from, Path to) throws IOException {
        Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    // ---- reading ----

    /** Reads every generation; the newest valid one counts. Changes nothing on the disk. */
    public synchronized ReadResult read() {
        List<Rejected> rejected = new ArrayList<>();
        Snapshot newest = null;
        for (Path candidate : candidateFiles()) {
            try {
                Snapshot snapshot = read(candidate);
                if (newest == null || snapshot.sequenceNumber > newest.sequenceNumber) {
                    newest = snapshot;
                }
            } catch (NoSuchFileException e) {
                // no generation of that age
            } catch (InvalidSnapshotException e) {
                rejected.add(new Rejected(candidate, e.reason()));
            } catch (IOException e) {
                String reason = e.getMessage() == null ? e.toString() : e.getMessage();
                rejected.add(new Rejected(candidate, reason));
            }
        }
        return new ReadResult(newest, rejected);
    }

    private List<Path> candidateFiles() {
        List<Path> files = new ArrayList<>();
        files.add(temporaryFile());
        for (int age = 0; age <= earlierGenerations; age++) {
            files.add(generation(age));
        }
        return files;
    }

    private Snapshot read(Path path) throws IOException {
        if (Files.size(path) > MAX_BODY_BYTES + SnapshotHeader.MAX_BYTES) {
            throw new InvalidSnapshotException(path, "is longer than such a file can be");
        }
        byte[] content = Files.readAllBytes(path);
        int headerLength = headerLength(content, path);
        String headerLine = new String(content, 0, headerLength, StandardCharsets.US_ASCII);
        byte[] body = Arrays.copyOfRange(content, headerLength + 1, content.length);
        SnapshotHeader header = SnapshotHeader.decode(headerLine, body, path);
        if (!header.kind().equals(kind)) {
            throw new InvalidSnapshotException(path, "is a file of another kind: " + header.kind());
        }
        if (header.format() != format) {
            throw new InvalidSnapshotException(
                    path, "has format " + header.format() + ", read is " + format);
        }
        if (!header.owner().equals(owner) && !owner.isEmpty()) {
            throw new InvalidSnapshotException(
                    path, "belongs to '" + header.owner() + "', not to '" + owner + "'");
        }
        return new Snapshot(body, header.writtenAt(), header.sequenceNumber(), path);
    }

    private static int headerLength(byte[] content, Path path) throws InvalidSnapshotException {
        int end = 0;
        while (end < Math.min(content.length, SnapshotHeader.MAX_BYTES) && content[end] != '\n') {
            end++;
        }
        if (end == content.length || end == SnapshotHeader.MAX_BYTES) {
            throw new InvalidSnapshotException(
                    path,
                    content.length == 0 ? "is empty" : "has no head: cut off, or no file of ours");
        }
        return end;
    }

    // ---- what cannot be used ----

    /**
     * Moves a file out of the way, to a name that says so; the latest such one stays.
     *
     * @return the new name
     */
    public synchronized Path setAside(Path rejected) throws IOException {
        Path aside = rejected.resolveSibling(rejected.getFileName() + ".set-aside");
        Files.move(rejected, aside, StandardCopyOption.REPLACE_EXISTING);
        return aside;
    }

    /** The same, with a line in the log that says why. */
    void setAside(Path rejected, String reason, Logger log) throws IOException {
        log.atWarn()
                .addKeyValue("file", rejected)
                .addKeyValue("why", reason)
                .addKeyValue("aside", setAside(rejected))
                .log("invalid " + kind + " file set aside");
    }
}
