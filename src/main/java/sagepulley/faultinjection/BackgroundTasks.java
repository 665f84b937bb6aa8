package sagepulley.faultinjection;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;

/**
 * Work of the stand-ins on threads of its own, which ends quietly with the connection that it
 * serves.
 */
final class BackgroundTasks {
    private BackgroundTasks() {}

    /** What a stand-in does on one thread. */
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    /** Runs it on a daemon thread of its own. */
    static Thread run(String name, Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException connectionClosed) {
                                // The other end, or the test, has closed it.
                            } catch (InterruptedException interrupted) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Closes a socket, which may be closed already. */
    static void close(Closeable socket) {
        try {
            socket.close();
        } catch (IOException alreadyClosed) {
            // There is nothing left to close.
        }
    }

    /** Ends a connection by a reset. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException alreadyClosed) {
            // It cannot be reset any more.
        }
        close(socket);
    }
}
