package sagepulley.cli;

import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;
import sagepulley.config.HostPort;

/** Converts a command-line argument of the form host:port. */
final class AddressConverter implements ITypeConverter<HostPort> {
    @Override
    public HostPort convert(String text) {
        HostPort address = HostPort.read(text);
        if (address == null) {
            throw new TypeConversionException("invalid address '" + text + "', expected host:port");
        }
        return address;
    }
}
