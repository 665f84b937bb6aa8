package sagepulley.accounts;

import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * A copy of accounts that is taken piece by piece, so that who owns them is never held up for long.
 */
public final class BookCopy {
    private final Iterator<Map.Entry<Long, Timeline<Window>>> left;
    private final Book copy = new Book();

    /** Of what the book shares with the accounts; the nodes are copied at once. */
    BookCopy(Book shared) {
        this.left = List.copyOf(shared.volumes.entrySet()).iterator();
        Book nodes = new Book();
        nodes.flows.putAll(shared.flows);
        nodes.zones.putAll(shared.zones);
        copy.merge(nodes, 0);
    }

    /** Copies so many volumes more; the whole once all are there, else null. */
    public Book more(int count) {
        for (int i = 0; i < count && left.hasNext(); i++) {
            Map.Entry<Long, Timeline<Window>> next = left.next();
            Timeline<Window> line = new Timeline<>(Window::new);
            line.merge(next.getValue(), 0);
            copy.volumes.put(next.getKey(), line);
        }
        return left.hasNext() ? null : copy;
    }
}
