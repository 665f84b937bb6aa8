package sagepulley.frontend.nbd;

import java.util.ArrayDeque;
import sagepulley.codec.nbd.AdmissionGate;

/**
 * How many bytes of requests may be in hand, in all and for each client. What does not fit waits in
 * order, and its socket is not read meanwhile. Used from every client's loop.
 */
public final class BufferBudget {
    private final long most;
    private long used;
    private long highest;
    private final ArrayDeque<Client> queue = new ArrayDeque<>();

    public BufferBudget(long most) {
        this.most = most;
    }

    public synchronized long used() {
        return used;
    }

    /** The most that was ever used at once. */
    public synchronized long highest() {
        return highest;
    }

    /** One client's part. */
    public final class Client implements AdmissionGate {
        private final long clientMost;
        private long clientUsed;

        /** What it waits for; 0 for nothing. */
        private long wanted;

        private boolean granted;
        private Runnable later;

        Client(long clientMost) {
            this.clientMost = clientMost;
        }

        @Override
        public boolean admit(long bytes, Runnable again) {
            synchronized (BufferBudget.this) {
                if (granted) {
                    granted = false;
                    wanted = 0;
                    return true;
                }
                if (clientUsed + bytes <= clientMost && used + bytes <= most && queue.isEmpty()) {
                    take(bytes);
                    return true;
                }
                wanted = bytes;
                later = again;
                if (clientUsed + bytes <= clientMost) {
                    queue.add(this);
                }
                return false;
            }
        }

        @Override
        public void returned(long bytes) {
            give(bytes);
        }

        /** Gives back what was admitted. */
        public void give(long bytes) {
            synchronized (BufferBudget.this) {
                clientUsed -= bytes;
                used -= bytes;
                if (wanted > 0
                        && !granted
                        && clientUsed + wanted <= clientMost
                        && !queue.contains(this)) {
                    queue.add(this);
                }
                grant();
            }
        }

        /** The connection ended: what it waited for is not wanted any more. */
        public void close() {
            synchronized (BufferBudget.this) {
                queue.remove(this);
                if (granted) {
                    granted = false;
                    clientUsed -= wanted;
                    used -= wanted;
                }
                wanted = 0;
                grant();
            }
        }

        private void take(long bytes) {
            clientUsed += bytes;
            used += bytes;
            highest = Math.max(highest, used);
        }
    }

    public Client client(long clientMost) {
        return new Client(clientMost);
    }

    private void grant() {
        for (Client first = queue.peek();
                first != null && used + first.wanted <= most;
                first = queue.peek()) {
            queue.poll();
            first.take(first.wanted);
            first.granted = true;
            first.later.run();
        }
    }
}
