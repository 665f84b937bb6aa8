package sagepulley.cli;

import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;
import sagepulley.config.HostPort;

/** Reads host:port on the command line. */
final class AddressConverter implements ITypeConverter<HostPort> {
    @Override
    public HostPort convert(String text) {
        HostPort address = HostPort.read(text);
        if (address == null) {
            throw new TypeConversionException("'" + text + "' is not host:port");
        }
        return address;
    }
}
