package sagepulley.transport;

/**
 * Counts the bytes that peers make the process keep for one purpose, against a limit. Confined to
 * the event loop.
 */
public final class MemoryAccount {
    private final long limitBytes;
    private long usedBytes;
    private long maxUsedBytes;

    /** Creates an account with a limit in bytes. */
    public MemoryAccount(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Returns the limit in bytes. */
    public long limitBytes() {
        return limitBytes;
    }

    /** Returns the bytes in use. */
    public long usedBytes() {
        return usedBytes;
    }

    /** Returns the maximum of the bytes in use since the start. */
    public long maxUsedBytes() {
        return maxUsedBytes;
    }

    /** Returns the bytes that can still be reserved. */
    public long availableBytes() {
        return Math.max(0, limitBytes - usedBytes);
    }

    /** Reserves the bytes if they fit within the limit; returns whether they did. */
    public boolean tryReserve(long bytes) {
        if (usedBytes + bytes > limitBytes) {
            return false;
        }
        reserve(bytes);
        return true;
    }

    /** Counts bytes that are kept in any case, even beyond the limit. */
    public void reserve(long bytes) {
        usedBytes += bytes;
        maxUsedBytes = Math.max(maxUsedBytes, usedBytes);
    }

    /** Returns reserved bytes. */
    public void release(long bytes) {
        usedBytes -= bytes;
    }
}
