package sagepulley.simulator;

import java.io.IOException;

/** The input is not a batch of the protocol; the message says what is wrong and where. */
public final class MalformedFrameException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String detail) {
        super(detail);
    }
}
