package sagepulley.accounts;

import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * A copy of accounts that is taken piece by piece, so that their owner's thread is never held up
 * for long. All calls are on that thread.
 */
public final class IncrementalCopy {
    private final Iterator<Map.Entry<Long, Timeline<AccountWindow>>> remaining;
    private final LatencyAccount copy = new LatencyAccount();

    /** Of a snapshot that shares its windows with the accounts; the nodes are copied at once. */
    IncrementalCopy(LatencyAccount shared) {
        this.remaining = List.copyOf(shared.volumes.entrySet()).iterator();
        LatencyAccount nodes = new LatencyAccount();
        nodes.flows.putAll(shared.flows);
        nodes.zones.putAll(shared.zones);
        copy.merge(nodes, 0);
    }

    /** Copies some more volumes; returns the copy once it is complete, else null. */
    public LatencyAccount copyNext(int count) {
        for (int i = 0; i < count && remaining.hasNext(); i++) {
            Map.Entry<Long, Timeline<AccountWindow>> next = remaining.next();
            Timeline<AccountWindow> timeline = new Timeline<>(AccountWindow::new);
            timeline.merge(next.getValue(), 0);
            copy.volumes.put(next.getKey(), timeline);
        }
        return remaining.hasNext() ? null : copy;
    }
}
