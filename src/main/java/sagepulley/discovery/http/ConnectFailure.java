package sagepulley.discovery.http;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;

/** Why a connection could not be made. */
final class ConnectFailure {
    private ConnectFailure() {}

    /** Whether the machine was reached and no process listens at the port. */
    static boolean isRefused(Throwable cause) {
        return cause instanceof ConnectException
                && !(cause instanceof ConnectTimeoutException)
                && String.valueOf(cause.getMessage()).contains("refused");
    }

    /** What the operating system said, below the exceptions that Netty wraps round it. */
    static String systemMessage(Throwable failure) {
        Throwable root = failure;
        while (root.getCause() != null) {
            root = root.getCause();
        }
        return root.getMessage();
    }
}
