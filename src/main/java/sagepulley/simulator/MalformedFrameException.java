package sagepulley.simulator;

import java.io.IOException;

/**
 * Thrown if the input is not a valid batch of the protocol; the message names the frame and the
 * error.
 */
public final class MalformedFrameException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String detail) {
        super(detail);
    }
}
