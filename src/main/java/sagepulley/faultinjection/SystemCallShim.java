package sagepulley.faultinjection;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;

/**
 * The library built from shim.c, which makes system calls fail and shifts the wall clock in the
 * processes that preload it.
 */
final class SystemCallShim {
    private static Path library;

    private final Path clock;
    private final Path built;

    private SystemCallShim(Path built, Path clock) throws IOException {
        this.built = built;
        this.clock = clock;
        setWallClockOffset(0);
    }

    /**
     * Returns the shim with its clock file in a folder, compiling the library on first use; null if
     * there is no working C compiler.
     */
    static synchronized SystemCallShim in(Path folder) throws IOException, InterruptedException {
        if (library == null) {
            Path source = Files.createTempFile("shim", ".c");
            Path target = Files.createTempFile("shim", ".so");
            try (InputStream text = SystemCallShim.class.getResourceAsStream("/faults/shim.c")) {
                Files.write(source, text.readAllBytes());
            }
            try {
                int result =
                        new ProcessBuilder(
                                        "cc",
                                        "-shared",
                                        "-fPIC",
                                        "-O2",
                                        "-o",
                                        target.toString(),
                                        source.toString(),
                                        "-ldl")
                                .inheritIO()
                                .start()
                                .waitFor();
                library = result == 0 ? target : null;
            } catch (IOException noCompiler) {
                library = null;
            } finally {
                Files.deleteIfExists(source);
                target.toFile().deleteOnExit();
            }
        }
        return library == null ? null : new SystemCallShim(library, folder.resolve("wall-clock"));
    }

    /** Sets the offset of the wall clock, in milliseconds, for all processes that use this shim. */
    void setWallClockOffset(long millis) throws IOException {
        ByteBuffer offset = ByteBuffer.allocate(Long.BYTES).order(ByteOrder.nativeOrder());
        offset.putLong(millis * 1_000_000).flip();
        try (FileChannel file =
                FileChannel.open(clock, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            file.write(offset, 0);
        }
    }

    Map<String, String> environment(long seed, int failuresInTenThousand) {
        return Map.of(
                "LD_PRELOAD",
                built.toString(),
                "SHIM_SEED",
                Long.toString(seed),
                "SHIM_FAILURES",
                Integer.toString(failuresInTenThousand),
                "SHIM_CLOCK",
                clock.toString());
    }
}
