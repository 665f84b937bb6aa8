package sagepulley.frontend.nbd;

import java.util.ArrayDeque;
import sagepulley.codec.nbd.AdmissionGate;

/**
 * Bounds the bytes of requests in flight, in all and for each client. What does not fit waits in
 * order, and its socket is not read meanwhile. Safe for use from any thread.
 */
public final class BufferBudget {
    private final long maxBytes;
    private long usedBytes;
    private long maxUsedBytes;
    private final ArrayDeque<ClientBudget> queue = new ArrayDeque<>();

    /** A budget of so many bytes for all clients together. */
    public BufferBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Bytes in flight now. */
    public synchronized long usedBytes() {
        return usedBytes;
    }

    /** The most bytes that were ever in flight at once. */
    public synchronized long maxUsedBytes() {
        return maxUsedBytes;
    }

    /** One client's share of the budget. */
    public final class ClientBudget implements AdmissionGate {
        private final long maxClientBytes;
        private long usedClientBytes;

        /** Bytes that it waits for; 0 for none. */
        private long waitingForBytes;

        private boolean granted;
        private Runnable retry;

        ClientBudget(long maxClientBytes) {
            this.maxClientBytes = maxClientBytes;
        }

        @Override
        public boolean admit(long bytes, Runnable retry) {
            synchronized (BufferBudget.this) {
                if (granted) {
                    granted = false;
                    waitingForBytes = 0;
                    return true;
                }
                if (usedClientBytes + bytes <= maxClientBytes
                        && usedBytes + bytes <= maxBytes
                        && queue.isEmpty()) {
                    take(bytes);
                    return true;
                }
                waitingForBytes = bytes;
                this.retry = retry;
                if (usedClientBytes + bytes <= maxClientBytes) {
                    queue.add(this);
                }
                return false;
            }
        }

        @Override
        public void release(long bytes) {
            synchronized (BufferBudget.this) {
                usedClientBytes -= bytes;
                usedBytes -= bytes;
                if (waitingForBytes > 0
                        && !granted
                        && usedClientBytes + waitingForBytes <= maxClientBytes
                        && !queue.contains(this)) {
                    queue.add(this);
                }
                grantNext();
            }
        }

        /** The connection has ended: it waits for nothing any more. */
        public void close() {
            synchronized (BufferBudget.this) {
                queue.remove(this);
                if (granted) {
                    granted = false;
                    usedClientBytes -= waitingForBytes;
                    usedBytes -= waitingForBytes;
                }
                waitingForBytes = 0;
                grantNext();
            }
        }

        private void take(long bytes) {
            usedClientBytes += bytes;
            usedBytes += bytes;
            maxUsedBytes = Math.max(maxUsedBytes, usedBytes);
        }
    }

    /** A new client's share, of at most so many bytes. */
    public ClientBudget client(long maxClientBytes) {
        return new ClientBudget(maxClientBytes);
    }

    private void grantNext() {
        for (ClientBudget first = queue.peek();
                first != null && usedBytes + first.waitingForBytes <= maxBytes;
                first = queue.peek()) {
            queue.poll();
            first.take(first.waitingForBytes);
            first.granted = true;
            first.retry.run();
        }
    }
}
