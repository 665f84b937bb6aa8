package sagepulley.membership;

/** The origin of an endpoint record. */
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
