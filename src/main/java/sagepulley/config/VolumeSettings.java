package sagepulley.config;

/**
 * A volume's section of the site file. Sizes are bytes; bands and plan are places in the
 * deployment's lists. Reads of bulkFrom bytes and more are of the bulk band.
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
