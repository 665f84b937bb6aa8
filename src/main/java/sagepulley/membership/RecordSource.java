package sagepulley.membership;

/** Where a line came from. */
public enum RecordSource {
    DIRECTORY,
    DISK,
    /** Brought by an operator. */
    IMPORT,
    /** Written in the site file. */
    SITE
}
