package sagepulley.persistence;

import java.io.IOException;
import java.nio.file.Path;

/** Thrown when a snapshot file is missing or invalid; the message names the file and the reason. */
public final class InvalidSnapshotException extends IOException {
    private static final long serialVersionUID = 1;

    private final String reason;

    InvalidSnapshotException(Path file, String reason) {
        this(file, reason, null);
    }

    InvalidSnapshotException(Path file, String reason, Throwable cause) {
        super(file + ": " + reason, cause);
        this.reason = reason;
    }

    /** Returns the reason without the file name. */
    public String reason() {
        return reason;
    }
}
