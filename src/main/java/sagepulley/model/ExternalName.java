package sagepulley.model;

import java.util.Locale;

/**
 * An enum whose constants have a fixed name outside of the program: in spans, metrics and messages
 * to clients. The constants may be renamed; the external names may not.
 */
public interface ExternalName {
    /** The name in lower case, its words separated by underscores. */
    String externalName();

    /** The external name of any constant; that of one without an explicit name is its own. */
    static String of(Enum<?> constant) {
        return constant instanceof ExternalName named
                ? named.externalName()
                : constant.name().toLowerCase(Locale.ROOT);
    }
}
