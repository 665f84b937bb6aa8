package sagepulley.standin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The data of a stand-in node, an array for each extent, or a file each. What was written but not
 * flushed is lost when the power fails, not when the program ends.
 */
final class BlockStore {
    private record ExtentKey(int volume, long extent) {}

    private final int extentBytes;
    private final Path folder;
    private final Map<ExtentKey, byte[]> memory = new HashMap<>();

    /** What was durable of the extents that have unflushed writes; null where nothing was. */
    private final Map<ExtentKey, byte[]> durable = new HashMap<>();

    private final Map<ExtentKey, FileChannel> files = new HashMap<>();
    private final Set<ExtentKey> dirtyFiles = new HashSet<>();

    BlockStore(int extentBytes, Path folder) {
        this.extentBytes = extentBytes;
        this.folder = folder;
    }

    /** Whether anything of an extent was ever written here. */
    boolean has(int volume, long extent) {
        ExtentKey key = new ExtentKey(volume, extent);
        try {
            return folder == null ? memory.containsKey(key) : file(key, false) != null;
        } catch (IOException e) {
            return true; // it cannot be told: what reads it will say so
        }
    }

    ByteBuf read(int volume, long extent, int offset, int length, ByteBuf into) throws IOException {
        ExtentKey key = new ExtentKey(volume, extent);
        if (folder != null) {
            FileChannel file = file(key, false);
            int start = into.writerIndex();
            into.writeZero(length);
            if (file != null) {
                ByteBuffer to = into.nioBuffer(start, length);
                while (to.hasRemaining()) {
                    if (file.read(to, offset + to.position()) < 0) {
                        break;
                    }
                }
            }
            return into;
        }
        byte[] data = memory.get(key);
        return data == null ? into.writeZero(length) : into.writeBytes(data, offset, length);
    }

    void write(int volume, long extent, int offset, ByteBuf data, boolean nowDurable)
            throws IOException {
        ExtentKey key = new ExtentKey(volume, extent);
        int length = data.readableBytes();
        if (folder != null) {
            FileChannel file = file(key, true);
            ByteBuffer from = data.nioBuffer();
            while (from.hasRemaining()) {
                file.write(from, offset + from.position());
            }
            dirtyFiles.add(key);
            if (nowDurable) {
                file.force(false);
                dirtyFiles.remove(key);
            }
            return;
        }
        byte[] at = memory.computeIfAbsent(key, any -> new byte[extentBytes]);
        if (nowDurable && !durable.containsKey(key)) {
            data.getBytes(data.readerIndex(), at, offset, length);
            return;
        }
        durable.computeIfAbsent(key, any -> at.clone());
        data.getBytes(data.readerIndex(), at, offset, length);
        if (nowDurable) {
            data.getBytes(data.readerIndex(), durable.get(key), offset, length);
        }
    }

    void zero(int volume, long extent, int offset, int length, boolean nowDurable)
            throws IOException {
        write(volume, extent, offset, Unpooled.wrappedBuffer(new byte[length]), nowDurable);
    }

    /** All of a volume that was written is durable from now on. */
    void flush(int volume) throws IOException {
        durable.keySet().removeIf(key -> key.volume() == volume);
        for (ExtentKey key : Set.copyOf(dirtyFiles)) {
            if (key.volume() == volume) {
                file(key, true).force(false);
                dirtyFiles.remove(key);
            }
        }
    }

    /** Forgets what was not durable; tells whether anything was lost. Files lose nothing here. */
    boolean failPower() {
        boolean lost = !durable.isEmpty();
        memory.putAll(durable);
        durable.clear();
        return lost;
    }

    void close() {
        files.values()
                .forEach(
                        file -> {
                            try {
                                file.close();
                            } catch (IOException e) {
                                throw new UncheckedIOException(e);
                            }
                        });
        files.clear();
    }

    private FileChannel file(ExtentKey key, boolean create) throws IOException {
        FileChannel open = files.get(key);
        if (open != null) {
            return open;
        }
        Path path = folder.resolve("v" + key.volume() + "-e" + key.extent());
        if (!create && !Files.exists(path)) {
            return null;
        }
        Files.createDirectories(folder);
        FileChannel file =
                FileChannel.open(
                        path,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
        files.put(key, file);
        return file;
    }
}
