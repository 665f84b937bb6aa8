package sagepulley.accounts;

import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * A copy of accounts that is taken in steps, so that it does not block the owner's thread for long.
 * All calls are on that thread.
 */
public final class IncrementalCopy {
    private final Iterator<Map.Entry<Long, Timeline<AccountWindow>>> remaining;
    private final LatencyAccount copy = new LatencyAccount();

    /**
     * Starts the copy of a view that shares its windows with the accounts. The flows and zones of
     * nodes are copied at once.
     */
    IncrementalCopy(LatencyAccount shared) {
        this.remaining = List.copyOf(shared.volumes.entrySet()).iterator();
        LatencyAccount nodes = new LatencyAccount();
        nodes.flows.putAll(shared.flows);
        nodes.zones.putAll(shared.zones);
        copy.merge(nodes, 0);
    }

    /**
     * Copies the given number of further volumes. Returns the copy if it is complete, null
     * otherwise.
     */
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
