package sagepulley.codec.frame;

import java.io.IOException;

/** Thrown if a gateway cannot run because Netty's native epoll library is not available. */
public final class EpollUnavailableException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message names the missing library and the kind of machine. */
    public EpollUnavailableException(Throwable cause) {
        super(
                "Netty's native library netty_transport_native_epoll is not available on "
                        + System.getProperty("os.name")
                        + " "
                        + System.getProperty("os.arch")
                        + ": "
                        + cause.getMessage(),
                cause);
    }
}
