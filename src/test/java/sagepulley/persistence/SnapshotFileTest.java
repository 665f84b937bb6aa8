package sagepulley.persistence;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that the newest valid generation of a snapshot file is read. */
class SnapshotFileTest {
    @TempDir private Path tempDir;

    private SnapshotFile open(String owner) {
        return new SnapshotFile(tempDir.resolve("list"), "list", 3, owner, 2);
    }

    private static byte[] body(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(SnapshotFile.ReadResult result) {
        assertNotNull(result.snapshot(), result.rejected().toString());
        return new String(result.snapshot().body(), StandardCharsets.UTF_8);
    }

    @Test
    void killAfterAnyWriteStepLeavesOldOrNewSnapshot() throws IOException {
        for (int stopStep = 0; stopStep < 7; stopStep++) {
            Path directory = Files.createDirectory(tempDir.resolve("kill" + stopStep));
            SnapshotFile file = new SnapshotFile(directory.resolve("list"), "list", 3, "site", 2);
            for (String text : new String[] {"one", "two", "three"}) {
                file.write(body(text), 1);
            }
            int[] stepsLeft = {stopStep};
            SnapshotFile killed =
                    new SnapshotFile(
                            directory.resolve("list"),
                            "list",
                            3,
                            "site",
                            2,
                            (step, generation) -> {
                                if (stepsLeft[0]-- == 0) {
                                    throw new IOException("killed after " + step);
                                }
                            });
            boolean completed = true;
            try {
                killed.write(body("four"), 2);
            } catch (IOException e) {
                completed = false;
            }
            SnapshotFile.ReadResult after =
                    new SnapshotFile(directory.resolve("list"), "list", 3, "site", 2).read();
            String found = text(after);
            assertTrue(
                    found.equals("four") || (found.equals("three") && !completed),
                    "killed after step " + stopStep + ", found: " + found);
            assertTrue(after.rejected().isEmpty());
            // Writing works after a restart.
            SnapshotFile next = new SnapshotFile(directory.resolve("list"), "list", 3, "site", 2);
            next.write(body("five"), 3);
            assertEquals("five", text(next.read()));
        }
    }

    @Test
    void earlierGenerationIsReadWhenFileIsTruncatedAtAnyByte() throws IOException {
        SnapshotFile file = open("site");
        file.write(body("the first body"), 1);
        file.write(body("the second body"), 2);
        byte[] intact = Files.readAllBytes(tempDir.resolve("list"));
        for (int length = 0; length < intact.length; length++) {
            Files.write(tempDir.resolve("list"), Arrays.copyOf(intact, length));
            SnapshotFile.ReadResult result = open("site").read();
            assertEquals("the first body", text(result), "file truncated to length " + length);
            assertEquals(1, result.rejected().size());
        }
    }

    @Test
    void anyFlippedBitIsDetected() throws IOException {
        SnapshotFile file = open("site");
        file.write(body("the first body"), 1);
        byte[] intact = Files.readAllBytes(tempDir.resolve("list"));
        for (int bit = 0; bit < 8 * intact.length; bit++) {
            byte[] flipped = intact.clone();
            flipped[bit / 8] ^= (byte) (1 << bit % 8);
            Files.write(tempDir.resolve("list"), flipped);
            SnapshotFile.Snapshot found = open("site").read().snapshot();
            // A flipped bit may change only the letter case of the checksum, which stays valid.
            assertTrue(
                    found == null
                            || (Arrays.equals(found.body(), body("the first body"))
                                    && found.writtenAt() == 1),
                    "flipped bit " + bit);
        }
    }

    @Test
    void filesOfOtherOwnersAndFormatsAreRejected() throws IOException {
        open("another site").write(body("x"), 1);
        SnapshotFile.ReadResult result = open("site").read();
        assertNull(result.snapshot());
        assertTrue(result.rejected().get(0).reason().contains("another site"));
        Path aside = open("site").setAside(result.rejected().get(0).file());
        assertTrue(Files.exists(aside));
        assertTrue(open("site").read().rejected().isEmpty());
        new SnapshotFile(tempDir.resolve("list"), "list", 4, "site", 2).write(body("y"), 1);
        assertTrue(open("site").read().rejected().get(0).reason().contains("format 4"));
        assertEquals(
                "y",
                new String(
                        new SnapshotFile(tempDir.resolve("list"), "list", 4, "", 2)
                                .read()
                                .snapshot()
                                .body(),
                        StandardCharsets.UTF_8));
    }

    @Test
    void writeFailsWhenDirectoryIsAFile() throws IOException {
        Path regularFile = tempDir.resolve("file");
        Files.writeString(regularFile, "in the way");
        SnapshotFile file = new SnapshotFile(regularFile.resolve("list"), "list", 3, "site", 2);
        try {
            file.write(body("z"), 1);
        } catch (IOException e) {
            assertArrayEquals(body("in the way"), Files.readAllBytes(regularFile));
            return;
        }
        throw new AssertionError("write succeeded although its directory is a regular file");
    }
}
