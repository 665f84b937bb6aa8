package sagepulley.faultinjection;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The endpoint list of the stand-in for discovery, with each change and its time. Thread-safe. */
final class EndpointHistory {
    /** An endpoint's state from a time on. */
    record Change(long at, long revision, Endpoint endpoint) {}

    private final TreeMap<Long, Change> changes = new TreeMap<>();

    /** Changes an endpoint, or adds it; the list's new revision. */
    synchronized long set(Endpoint endpoint) {
        long revision = revision() + 1;
        changes.put(revision, new Change(System.nanoTime(), revision, endpoint));
        return revision;
    }

    /** The revision of the last change; 0 before any. */
    synchronized long revision() {
        return changes.isEmpty() ? 0 : changes.lastKey();
    }

    synchronized List<Change> changes() {
        return new ArrayList<>(changes.values());
    }

    /** The endpoints that are not deleted, as they are now. */
    synchronized Collection<Endpoint> listed() {
        Collection<Endpoint> latest = latest(changes.values());
        latest.removeIf(endpoint -> endpoint.state() == Endpoint.State.DELETED);
        return latest;
    }

    /**
     * The list in the protocol's form: what changed after a revision, or all of it where the
     * revision is none of this history.
     */
    synchronized String json(long after, boolean indented) {
        boolean complete = after <= 0 || after > revision();
        Collection<Endpoint> entries =
                complete ? listed() : latest(changes.tailMap(after, false).values());
        StringBuilder text =
                new StringBuilder(
                        "{\"revision\":"
                                + revision()
                                + ",\"complete\":"
                                + complete
                                + ",\"members\":[");
        String separator = "";
        for (Endpoint entry : entries) {
            text.append(separator).append(entry.json(indented));
            separator = indented ? ",\n    " : ",";
        }
        return text.append("]}\n").toString();
    }

    private static Collection<Endpoint> latest(Collection<Change> changes) {
        Map<String, Endpoint> latest = new LinkedHashMap<>();
        changes.forEach(change -> latest.put(change.endpoint().id(), change.endpoint()));
        return latest.values();
    }
}
