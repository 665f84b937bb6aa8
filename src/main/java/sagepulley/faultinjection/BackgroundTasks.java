package sagepulley.faultinjection;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;

/**
 * Runs the stand-ins' work on daemon threads. A task ends without an error when its connection is
 * closed.
 */
final class BackgroundTasks {
    private BackgroundTasks() {}

    /** Work that a stand-in runs on one thread. */
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    /** Runs a task on a new daemon thread. */
    static Thread run(String name, Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException connectionClosed) {
                                // Closed by the peer or by the test.
                            } catch (InterruptedException interrupted) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Closes a socket, which may already be closed. */
    static void close(Closeable socket) {
        try {
            socket.close();
        } catch (IOException alreadyClosed) {
            // Nothing to close.
        }
    }

    /** Closes a connection with a TCP reset. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException alreadyClosed) {
            // Too late for a reset.
        }
        close(socket);
    }
}
