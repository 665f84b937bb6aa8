package sagepulley.config;

/**
 * A volume's section of the site file. Traffic classes and plan are indexes of the deployment's
 * lists.
 *
 * @param gateways how many serve the volume
 * @param bulkThresholdBytes reads of so many bytes and more are of the bulk traffic class
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
