package sagepulley.accounts;

import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * A copy of accounts that is taken piece by piece, so that who owns them is never held up for long.
 */
public final class IncrementalCopy {
    private final Iterator<Map.Entry<Long, Timeline<AccountWindow>>> left;
    private final LatencyAccount copy = new LatencyAccount();

    /** Of what the book shares with the accounts; the nodes are copied at once. */
    IncrementalCopy(LatencyAccount shared) {
        this.left = List.copyOf(shared.volumes.entrySet()).iterator();
        LatencyAccount nodes = new LatencyAccount();
        nodes.flows.putAll(shared.flows);
        nodes.zones.putAll(shared.zones);
        copy.merge(nodes, 0);
    }

    /** Copies so many volumes more; the whole once all are there, else null. */
    public LatencyAccount copyNext(int count) {
        for (int i = 0; i < count && left.hasNext(); i++) {
            Map.Entry<Long, Timeline<AccountWindow>> next = left.next();
            Timeline<AccountWindow> line = new Timeline<>(AccountWindow::new);
            line.merge(next.getValue(), 0);
            copy.volumes.put(next.getKey(), line);
        }
        return left.hasNext() ? null : copy;
    }
}
