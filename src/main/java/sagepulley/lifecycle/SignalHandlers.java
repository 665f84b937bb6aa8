package sagepulley.lifecycle;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Handles signals of the operating system by reflection, because the JDK has no public API for
 * them.
 */
final class SignalHandlers {
    private static final Path PROCESS_STATUS = Path.of("/proc/self/status");
    private static final String IGNORED_SIGNALS = "SigIgn:";

    private SignalHandlers() {}

    /**
     * Returns whether the process was started with this signal ignored. The JVM then keeps ignoring
     * it, even if a handler is set.
     */
    static boolean isIgnored(String name) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            int number =
                    (Integer)
                            signal.getMethod("getNumber")
                                    .invoke(signal.getConstructor(String.class).newInstance(name));
            return Files.readAllLines(PROCESS_STATUS).stream()
                    .filter(line -> line.startsWith(IGNORED_SIGNALS))
                    .map(
                            line ->
                                    Long.parseUnsignedLong(
                                            line.substring(IGNORED_SIGNALS.length()).trim(), 16))
                    .anyMatch(ignored -> (ignored >>> (number - 1) & 1) == 1);
        } catch (IOException notLinux) {
            return false;
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot determine the number of signal " + name, e);
        }
    }

    /**
     * Replaces the JDK's handler of a signal. The task runs on a separate thread for each signal.
     */
    static void setHandler(String name, Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object run =
                    Proxy.newProxyInstance(
                            SignalHandlers.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (proxy, method, arguments) -> {
                                if (method.getName().equals("handle")) {
                                    task.run();
                                }
                                return null;
                            });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), run);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot set a handler for signal " + name, e);
        }
    }
}
