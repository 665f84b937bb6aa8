package sagepulley.config;

import java.io.StringReader;
import java.nio.file.Path;
import java.util.List;
import sagepulley.model.Deployment;

/**
 * The validated site file of a gateway (docs/operate/site-file.md describes each key). Sizes are
 * bytes, times are milliseconds.
 *
 * @param name the name of this gateway
 * @param zones the zones of the site, by index
 * @param nbd the address on which the gateway serves NBD
 * @param maxClientBytes the maximum bytes of requests in flight of one client; {@code
 *     maxTotalBytes} limits those of all clients
 * @param extentBytes the size of an extent; requests are split at extent boundaries
 * @param unitBytes the size of one unit of work
 * @param monitoring the address on which monitoring is served; null for none
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
     * Reads and validates a file.
     *
     * @throws SiteConfigException with all errors, one per line
     */
    public static SiteConfig read(Path path) throws SiteConfigException {
        return new SiteConfigReader(new IniReader(path)).read();
    }

    /**
     * Reads and validates text; error messages contain the given name.
     *
     * @throws SiteConfigException with all errors, one per line
     */
    public static SiteConfig read(String name, String text) throws SiteConfigException {
        return new SiteConfigReader(new IniReader(name, new StringReader(text))).read();
    }
}
