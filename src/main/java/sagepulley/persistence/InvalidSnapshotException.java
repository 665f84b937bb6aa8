package sagepulley.persistence;

import java.io.IOException;
import java.nio.file.Path;

/** A file whose content cannot be used; names the file and what is wrong with it. */
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

    /** What is wrong, without the file's name. */
    public String reason() {
        return reason;
    }
}
