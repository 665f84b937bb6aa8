package sagepulley.simulator;

import java.io.IOException;

/** The input is not a frame of the wire; the message says what is wrong and where. */
public final class MalformedFrame extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedFrame(String what) {
        super(what);
    }
}
