package sagepulley.config;

import java.io.StringReader;
import java.nio.file.Path;
import java.util.List;
import sagepulley.model.Deployment;

/**
 * A gateway's site file, checked (docs/operate/site-file.md has it key by key). Sizes are bytes,
 * times are milliseconds.
 *
 * @param name of this gateway
 * @param zones of the site, by index
 * @param nbd address to listen on
 * @param maxClientBytes of requests in flight, of one client; {@code maxTotalBytes} of all
 * @param extentBytes size of an extent; requests are split at extent edges
 * @param unitBytes size of one unit of work
 * @param monitoring address to listen on; null for none
 */
public record SiteConfig(
        String name,
        List<String> zones,
        HostPort nbd,
        HostPort directory,
        int eventLoops,
        long maxClientBytes,
        long maxTotalBytes,
        int maxClients,
        double shutdownTimeoutMillis,
        int extentBytes,
        int unitBytes,
        int maxRequestBytes,
        Deployment deployment,
        List<VolumeSettings> volumes,
        AccountsSettings accounts,
        TracingSettings tracing,
        HostPort monitoring,
        MembershipSettings membership,
        String siteName) {
    /**
     * Reads and checks a file.
     *
     * @throws SiteConfigException with every mistake, a line each
     */
    public static SiteConfig read(Path path) throws SiteConfigException {
        return new SiteConfigReader(new IniReader(path)).read();
    }

    /** The same from text, whose name stands in errors. */
    public static SiteConfig read(String name, String text) throws SiteConfigException {
        return new SiteConfigReader(new IniReader(name, new StringReader(text))).read();
    }
}
