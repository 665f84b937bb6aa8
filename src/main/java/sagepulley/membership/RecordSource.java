package sagepulley.membership;

/** Where an endpoint record came from. */
public enum RecordSource {
    /** A directory, in this process's life. */
    DIRECTORY,
    /** The endpoint list file. */
    DISK,
    /** An operator's import. */
    IMPORT,
    /** The site file. */
    SITE
}
