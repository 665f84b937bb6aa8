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
 * Stores the data of a stand-in node, in memory or in one file for each extent.
 *
 * <p>In memory, a power failure loses unflushed writes; files lose nothing. Used on the node's loop
 * only.
 */
final class BlockStore {
    private final int extentBytes;
    private final Path folder;
    private final Map<ExtentKey, byte[]> memory = new HashMap<>();

    /** Durable content of the extents that have unflushed writes. */
    private final Map<ExtentKey, byte[]> durable = new HashMap<>();

    private final Map<ExtentKey, FileChannel> files = new HashMap<>();
    private final Set<ExtentKey> dirtyFiles = new HashSet<>();

    /** Creates a store of extents of one size; a null folder keeps them in memory. */
    BlockStore(int extentBytes, Path folder) {
        this.extentBytes = extentBytes;
        this.folder = folder;
    }

    /** Returns true if the extent was ever written, or if its file cannot be opened. */
    boolean contains(int volume, long extent) {
        ExtentKey key = new ExtentKey(volume, extent);
        try {
            return folder == null ? memory.containsKey(key) : file(key, false) != null;
        } catch (IOException e) {
            return true; // the next access fails with the same error
        }
    }

    /** Appends a range of an extent to a buffer; ranges that were never written read as zeros. */
    ByteBuf read(int volume, long extent, int offset, int length, ByteBuf into) throws IOException {
        ExtentKey key = new ExtentKey(volume, extent);
        if (folder != null) {
            return readFile(key, offset, length, into);
        }
        byte[] data = memory.get(key);
        return data == null ? into.writeZero(length) : into.writeBytes(data, offset, length);
    }

    private ByteBuf readFile(ExtentKey key, int offset, int length, ByteBuf into)
            throws IOException {
        FileChannel file = file(key, false);
        int start = into.writerIndex();
        into.writeZero(length);
        if (file == null) {
            return into;
        }
        ByteBuffer to = into.nioBuffer(start, length);
        while (to.hasRemaining()) {
            if (file.read(to, offset + to.position()) < 0) {
                break;
            }
        }
        return into;
    }

    /**
     * Writes a range of an extent. The data is durable at once if forceNow is set, otherwise after
     * the next flush.
     */
    void write(int volume, long extent, int offset, ByteBuf data, boolean forceNow)
            throws IOException {
        ExtentKey key = new ExtentKey(volume, extent);
        if (folder != null) {
            writeFile(key, offset, data, forceNow);
            return;
        }
        byte[] content = memory.computeIfAbsent(key, any -> new byte[extentBytes]);
        if (!forceNow) {
            durable.computeIfAbsent(key, any -> content.clone());
        }
        copy(data, content, offset);
        if (forceNow && durable.containsKey(key)) {
            copy(data, durable.get(key), offset);
        }
    }

    private static void copy(ByteBuf data, byte[] to, int offset) {
        data.getBytes(data.readerIndex(), to, offset, data.readableBytes());
    }

    private void writeFile(ExtentKey key, int offset, ByteBuf data, boolean forceNow)
            throws IOException {
        FileChannel file = file(key, true);
        ByteBuffer from = data.nioBuffer();
        while (from.hasRemaining()) {
            file.write(from, offset + from.position());
        }
        dirtyFiles.add(key);
        if (forceNow) {
            file.force(false);
            dirtyFiles.remove(key);
        }
    }

    /** Overwrites a range of an extent with zeros. */
    void zero(int volume, long extent, int offset, int length, boolean forceNow)
            throws IOException {
        write(volume, extent, offset, Unpooled.wrappedBuffer(new byte[length]), forceNow);
    }

    /** Makes all writes to a volume durable. */
    void flush(int volume) throws IOException {
        durable.keySet().removeIf(key -> key.volume() == volume);
        for (ExtentKey key : Set.copyOf(dirtyFiles)) {
            if (key.volume() == volume) {
                file(key, true).force(false);
                dirtyFiles.remove(key);
            }
        }
    }

    /**
     * Reverts extents in memory to their durable content and returns whether any had unflushed
     * writes. Files are not affected.
     */
    boolean failPower() {
        boolean lost = !durable.isEmpty();
        memory.putAll(durable);
        durable.clear();
        return lost;
    }

    /** Returns whether a power failure would lose writes. */
    boolean hasUnflushedWrites() {
        return !durable.isEmpty();
    }

    /** Closes the files; each is reopened on its next access. */
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
