package sagepulley.codec.nbd;

import java.util.List;

/** What a server offers. Asked from any connection's loop. */
public interface Exports {
    List<Export> all();

    /** The export of that name (the empty name is the default export), or null. */
    Export findByName(String name);
}
