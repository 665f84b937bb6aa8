package sagepulley.platform;

import java.lang.reflect.Proxy;

/** Signals of the operating system. The JDK's class for them is reached by name: it has no public one. */
final class Signals {
    private Signals() {
    }

    /** Runs the task on a thread of its own at each signal of this name, in place of what the JDK does. */
    static void on(String name, Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object run = Proxy.newProxyInstance(Signals.class.getClassLoader(), new Class<?>[] {handler},
                    (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            task.run();
                        }
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), run);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("signal " + name + " cannot be handled", e);
        }
    }
}
