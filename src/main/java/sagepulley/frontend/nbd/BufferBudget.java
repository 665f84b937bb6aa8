package sagepulley.frontend.nbd;

import java.util.ArrayDeque;
import sagepulley.codec.nbd.AdmissionGate;

/**
 * Limits the bytes of requests in flight, in total and per client. A request that does not fit
 * waits, and its connection is not read meanwhile; requests that wait for the total are admitted in
 * order. Safe for use from any thread.
 */
public final class BufferBudget {
    private final long maxBytes;
    private long usedBytes;
    private long maxUsedBytes;
    private final ArrayDeque<ClientBudget> queue = new ArrayDeque<>();

    /** Creates a budget of {@code maxBytes} for all clients together. */
    public BufferBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns the bytes in flight. */
    public synchronized long usedBytes() {
        return usedBytes;
    }

    /** Returns the maximum bytes that were in flight at once. */
    public synchronized long maxUsedBytes() {
        return maxUsedBytes;
    }

    /** One client's share of the budget. */
    public final class ClientBudget implements AdmissionGate {
        private final long maxClientBytes;
        private long usedClientBytes;

        /** Bytes that the client waits for; 0 if it does not wait. */
        private long waitingForBytes;

        /** Whether the awaited bytes have been granted and the retry has not used them yet. */
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

        /**
         * Stops waiting and returns granted bytes that were not used. Called when the connection
         * has closed.
         */
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

    /** Creates the share of a new client, limited to {@code maxClientBytes}. */
    public ClientBudget client(long maxClientBytes) {
        return new ClientBudget(maxClientBytes);
    }

    /** Grants waiting clients their bytes, in order, until the next does not fit the total. */
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
