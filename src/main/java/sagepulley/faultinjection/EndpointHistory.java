package sagepulley.faultinjection;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Records the changes of the endpoint list with their times and revisions. Thread-safe. */
final class EndpointHistory {
    /** The state of an endpoint from a time on. */
    record Change(long at, long revision, Endpoint endpoint) {}

    private final TreeMap<Long, Change> changes = new TreeMap<>();

    /** Adds or changes an endpoint and returns the list's new revision. */
    synchronized long set(Endpoint endpoint) {
        long revision = revision() + 1;
        changes.put(revision, new Change(System.nanoTime(), revision, endpoint));
        return revision;
    }

    /** Returns the revision of the last change; 0 before the first. */
    synchronized long revision() {
        return changes.isEmpty() ? 0 : changes.lastKey();
    }

    synchronized List<Change> changes() {
        return new ArrayList<>(changes.values());
    }

    /** Returns the current endpoints without the deleted ones. */
    synchronized Collection<Endpoint> listed() {
        Collection<Endpoint> latest = latest(changes.values());
        latest.removeIf(endpoint -> endpoint.state() == Endpoint.State.DELETED);
        return latest;
    }

    /**
     * Returns the list in the form of the discovery protocol: the changes after a revision, or the
     * complete list if this history does not contain that revision.
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
