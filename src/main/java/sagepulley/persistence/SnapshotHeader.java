package sagepulley.persistence;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.zip.CRC32C;

/**
 * The first line of a snapshot file. Its fields are separated by spaces: magic word, kind, format,
 * owner (URL-encoded), time of writing, sequence number, length of the body, and a CRC32C checksum
 * of the preceding fields and the body.
 *
 * @param writtenAt time of the write in wall-clock milliseconds
 * @param sequenceNumber increases by one with each write of a file
 */
record SnapshotHeader(String kind, int format, String owner, long writtenAt, long sequenceNumber) {
    /** Maximum length of a header, including the line feed. */
    static final int MAX_BYTES = 1024;

    private static final String MAGIC = "sagepulley";
    private static final int FIELDS = 8;

    /** Returns the header line for a body, including the line feed. */
    byte[] encode(byte[] body) {
        String fields =
                String.join(
                        " ",
                        MAGIC,
                        kind,
                        Integer.toString(format),
                        URLEncoder.encode(owner, StandardCharsets.UTF_8),
                        Long.toString(writtenAt),
                        Long.toString(sequenceNumber),
                        Integer.toString(body.length));
        return (fields + " " + Integer.toHexString(checksum(fields, body)) + "\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    /**
     * Parses a header line and verifies the body against it.
     *
     * @param line the header line without the line feed
     * @param file the file that an exception names
     * @throws InvalidSnapshotException if the line is malformed or does not match the body
     */
    static SnapshotHeader decode(String line, byte[] body, Path file)
            throws InvalidSnapshotException {
        String[] fields = line.split(" ", -1);
        if (fields.length != FIELDS || !fields[0].equals(MAGIC)) {
            throw new InvalidSnapshotException(file, "file is not a sagepulley snapshot");
        }
        try {
            // Verifies length and checksum before any other field is used.
            if (Long.parseLong(fields[6]) != body.length) {
                throw new InvalidSnapshotException(
                        file, "body has " + body.length + " bytes, expected " + fields[6]);
            }
            int expected = checksum(line.substring(0, line.lastIndexOf(' ')), body);
            if (Integer.parseUnsignedInt(fields[7], 16) != expected) {
                throw new InvalidSnapshotException(file, "checksum does not match the content");
            }
            return new SnapshotHeader(
                    fields[1],
                    Integer.parseInt(fields[2]),
                    URLDecoder.decode(fields[3], StandardCharsets.UTF_8),
                    Long.parseLong(fields[4]),
                    Long.parseLong(fields[5]));
        } catch (IllegalArgumentException e) {
            throw new InvalidSnapshotException(file, "malformed header", e);
        }
    }

    private static int checksum(String fields, byte[] body) {
        CRC32C crc = new CRC32C();
        crc.update(fields.getBytes(StandardCharsets.US_ASCII));
        crc.update(body);
        return (int) crc.getValue();
    }
}
