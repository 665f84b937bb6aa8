package sagepulley.codec.nbd;

import java.util.List;

/** The exports of a server. Called on the event loop of any connection. */
public interface Exports {
    List<Export> all();

    /** Returns the export with this name, or null; the empty name selects the default export. */
    Export findByName(String name);
}
