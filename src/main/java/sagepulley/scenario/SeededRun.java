package sagepulley.scenario;

import java.io.IOException;
import java.util.List;
import sagepulley.config.SiteConfigException;

/** A run under faults that follow from a seed, and that is checked against rules. */
public interface SeededRun extends AutoCloseable {
    /** Executes the run and returns a description of each violation of a rule. */
    List<String> violations() throws IOException, InterruptedException, SiteConfigException;

    /** Returns the number of requests of the executed run that were served. */
    long served();

    /** Returns what happened in the executed run, in order. */
    String journalText();

    @Override
    void close();
}
