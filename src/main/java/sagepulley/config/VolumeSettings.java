package sagepulley.config;

/**
 * A volume's section of the site file. Traffic classes and plan are indexes into the lists of the
 * deployment.
 *
 * @param gateways the number of gateways that serve the volume
 * @param bulkThresholdBytes the minimum size of a read that belongs to the bulk traffic class
 */
public record VolumeSettings(
        int id,
        String name,
        String description,
        long sizeBytes,
        int plan,
        int gateways,
        boolean readOnly,
        int readTrafficClass,
        int writeTrafficClass,
        int bulkTrafficClass,
        long bulkThresholdBytes) {}
