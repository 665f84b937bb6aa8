import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** The record of one run: what was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {
    private final long startedNanos = System.nanoTime();
    private final PrintWriter out;
    private int broken;

    Record(Path file) throws IOException {
        out = new PrintWriter(file.toFile(), "UTF-8");
    }

    double millis() {
        return (System.nanoTime() - startedNanos) / 1e6;
    }

    synchronized void line(String format, Object... values) {
        out.printf("%9.1f ms  %s%n", millis(), String.format(format, values));
        out.flush();
    }

    /** Notes that the rule was broken. */
    synchronized void broken(String format, Object... values) {
        broken++;
        line("BROKEN: " + format, values);
        System.out.println("BROKEN: " + String.format(format, values));
    }

    synchronized int count() {
        return broken;
    }

    @Override
    public void close() {
        out.close();
    }
}
