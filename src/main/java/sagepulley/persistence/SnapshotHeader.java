package sagepulley.persistence;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.zip.CRC32C;

/**
 * The first line of a snapshot file: magic word, kind, format, owner (URL-encoded), time of
 * writing, number, length of the body, and a CRC32C over all of that and the body, separated by
 * spaces.
 *
 * @param writtenAt wall-clock milliseconds
 * @param sequenceNumber counts up with each write of a file
 */
record SnapshotHeader(String kind, int format, String owner, long writtenAt, long sequenceNumber) {
    /** No valid header is longer, its line feed included. */
    static final int MAX_BYTES = 1024;

    private static final String MAGIC = "sagepulley";
    private static final int FIELDS = 8;

    /** The line, with its line feed, for a body. */
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
     * Reads a header.
     *
     * @param line without its line feed
     * @param file named in the exception
     * @throws InvalidSnapshotException if it is no header, or does not agree with the body
     */
    static SnapshotHeader decode(String line, byte[] body, Path file)
            throws InvalidSnapshotException {
        String[] fields = line.split(" ", -1);
        if (fields.length != FIELDS || !fields[0].equals(MAGIC)) {
            throw new InvalidSnapshotException(file, "is no file of sagepulley");
        }
        try {
            // First of all whether it is intact: nothing that a damaged file says can be relied on.
            if (Long.parseLong(fields[6]) != body.length) {
                throw new InvalidSnapshotException(
                        file,
                        "is cut off, or longer than it says: "
                                + body.length
                                + " bytes of "
                                + fields[6]);
            }
            int expected = checksum(line.substring(0, line.lastIndexOf(' ')), body);
            if (Integer.parseUnsignedInt(fields[7], 16) != expected) {
                throw new InvalidSnapshotException(file, "is damaged: its checksum does not agree");
            }
            return new SnapshotHeader(
                    fields[1],
                    Integer.parseInt(fields[2]),
                    URLDecoder.decode(fields[3], StandardCharsets.UTF_8),
                    Long.parseLong(fields[4]),
                    Long.parseLong(fields[5]));
        } catch (IllegalArgumentException e) {
            throw new InvalidSnapshotException(file, "has a damaged head", e);
        }
    }

    private static int checksum(String fields, byte[] body) {
        CRC32C crc = new CRC32C();
        crc.update(fields.getBytes(StandardCharsets.US_ASCII));
        crc.update(body);
        return (int) crc.getValue();
    }
}
