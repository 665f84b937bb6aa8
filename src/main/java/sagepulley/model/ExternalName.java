package sagepulley.model;

import java.util.Locale;

/**
 * An enum whose constants have a fixed name outside the program: in spans, metrics and messages to
 * clients. A constant may be renamed; its external name may not.
 */
public interface ExternalName {
    /** Returns the name in lower case, with its words separated by underscores. */
    String externalName();

    /** Returns the external name of any constant: its own name in lower case if it defines none. */
    static String of(Enum<?> constant) {
        return constant instanceof ExternalName named
                ? named.externalName()
                : constant.name().toLowerCase(Locale.ROOT);
    }
}
