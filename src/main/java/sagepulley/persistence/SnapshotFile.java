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
 * A file that is replaced atomically, so that a crash at any point leaves a valid snapshot. A write
 * creates a temporary file, syncs it to disk, rotates the earlier generations and renames the
 * temporary file into place.
 *
 * <p>A {@link SnapshotHeader} records kind, format, owner and time of writing; a file that does not
 * match its header is rejected. Thread-safe.
 */
public final class SnapshotFile {
    private static final long MAX_BODY_BYTES = 1L << 30;

    /** Steps of a write, in order. */
    enum WriteStep {
        TEMPORARY_FILE_WRITTEN,
        TEMPORARY_FILE_SYNCED,
        OLDER_GENERATION_ROTATED,
        CURRENT_GENERATION_ROTATED,
        RENAMED_INTO_PLACE,
        DIRECTORY_SYNCED
    }

    /** Called after each step of a write; an exception aborts the write at that step. */
    interface WriteListener {
        void stepDone(WriteStep step, int generation) throws IOException;
    }

    /**
     * The content of a valid file.
     *
     * @param writtenAt time of the write in wall-clock milliseconds
     * @param sequenceNumber increases by one with each write
     */
    public record Snapshot(byte[] body, long writtenAt, long sequenceNumber, Path file) {}

    /** An invalid file and the reason. */
    public record Rejected(Path file, String reason) {}

    /** The newest valid snapshot, or null if there is none, and the invalid files. */
    public record ReadResult(Snapshot snapshot, List<Rejected> rejected) {}

    private final Path file;
    private final String kind;
    private final int format;
    private final String owner;
    private final int earlierGenerations;
    private final WriteListener listener;

    /** Sequence number of the newest snapshot; -1 until the first write has read it. */
    private long sequenceNumber = -1;

    /**
     * Creates a snapshot file, which need not exist on disk yet.
     *
     * @param kind kind of content, recorded in the header
     * @param format format version of the content, recorded in the header
     * @param owner name of a site or gateway; if empty, files of any owner are read
     * @param earlierGenerations number of generations kept in addition to the newest
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
     * Replaces the file with a new body.
     *
     * @param writtenAt time of the write in wall-clock milliseconds
     * @throws IOException if the write fails; each earlier generation is then unchanged or rotated
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

    /**
     * Reads all generations and the temporary file of an unfinished write, and selects the newest
     * valid snapshot. Changes no file.
     */
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
                // This generation does not exist.
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
            throw new InvalidSnapshotException(
                    path,
                    "file is longer than "
                            + (MAX_BODY_BYTES + SnapshotHeader.MAX_BYTES)
                            + " bytes");
        }
        byte[] content = Files.readAllBytes(path);
        int headerLength = headerLength(content, path);
        String headerLine = new String(content, 0, headerLength, StandardCharsets.US_ASCII);
        byte[] body = Arrays.copyOfRange(content, headerLength + 1, content.length);
        SnapshotHeader header = SnapshotHeader.decode(headerLine, body, path);
        if (!header.kind().equals(kind)) {
            throw new InvalidSnapshotException(
                    path, "kind is '" + header.kind() + "', expected '" + kind + "'");
        }
        if (header.format() != format) {
            throw new InvalidSnapshotException(
                    path, "format " + header.format() + " is not supported, expected " + format);
        }
        if (!header.owner().equals(owner) && !owner.isEmpty()) {
            throw new InvalidSnapshotException(
                    path, "owner is '" + header.owner() + "', expected '" + owner + "'");
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
                    content.length == 0 ? "file is empty" : "header line is missing or truncated");
        }
        return end;
    }

    // ---- invalid files ----

    /**
     * Renames an invalid file so that it is no longer read; replaces one set aside earlier.
     *
     * @return the new path
     */
    public synchronized Path setAside(Path rejected) throws IOException {
        Path aside = rejected.resolveSibling(rejected.getFileName() + ".set-aside");
        Files.move(rejected, aside, StandardCopyOption.REPLACE_EXISTING);
        return aside;
    }

    /** Sets an invalid file aside and logs the reason. */
    void setAside(Path rejected, String reason, Logger log) throws IOException {
        log.atWarn()
                .addKeyValue("file", rejected)
                .addKeyValue("why", reason)
                .addKeyValue("aside", setAside(rejected))
                .log("invalid " + kind + " file set aside");
    }
}
