package sagepulley.membership;

/** Where an endpoint record came from. */
public enum RecordSource {
    /** A directory, since this process started. */
    DIRECTORY,
    /** The endpoint list file. */
    DISK,
    /** An operator's import. */
    IMPORT,
    /** The site file. */
    SITE
}
