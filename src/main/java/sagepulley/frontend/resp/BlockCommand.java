package sagepulley.frontend.resp;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagepulley.codec.resp.NumberParser;
import sagepulley.codec.resp.Resp;
import sagepulley.model.Deployment;
import sagepulley.model.TenantPlan;
import sagepulley.model.TrafficClass;

/**
 * A validated read or write command of a client, which also supplies the arguments to forward to an
 * endpoint.
 */
public final class BlockCommand {
    /** Name of the read command. */
    public static final String READ = "BLK.READ";

    /** Name of the write command. */
    public static final String WRITE = "BLK.WRITE";

    static final int MAX_FIELDS_BYTES = 1024;

    private static final int MAX_FIELDS = 32;

    /** Number of arguments of a read, including the command name. A write has one more. */
    private static final int READ_ARGUMENTS = 4;

    private static final int EXTENT_ARGUMENT = 1;
    private static final int ID_ARGUMENT = 2;
    private static final int FIELDS_ARGUMENT = 3;
    private static final String DEADLINE_FIELD = "d=";
    private static final double MAX_GATEWAYS = 1e6;
    private static final double MAX_DEADLINE_MILLIS = 24 * 3_600_000;

    final long id;
    final long extent;
    final TrafficClass trafficClass;
    final TenantPlan plan;
    final double deadlineMillis;
    final long volume;
    final double units;
    final int shard;
    final int gatewayCount;
    final boolean clientRetry;
    private final List<byte[]> arguments;

    /** The field list as received, split around the value of the deadline field. */
    private final String fieldsBeforeDeadline;

    private final String fieldsAfterDeadline;

    private BlockCommand(List<byte[]> arguments, Deployment deployment) throws BadCommandException {
        this.arguments = arguments;
        this.extent = parseId(text(arguments.get(EXTENT_ARGUMENT)), "extent");
        this.id = parseId(text(arguments.get(ID_ARGUMENT)), "operation id");
        String fieldList = text(arguments.get(FIELDS_ARGUMENT));
        Map<String, String> fields = parseFields(fieldList);
        this.trafficClass = findTrafficClass(required(fields, "c"), deployment);
        this.plan = findPlan(required(fields, "t"), deployment);
        this.deadlineMillis = parsePositive(required(fields, "d"), "d", MAX_DEADLINE_MILLIS);
        this.volume = parseId(required(fields, "volume"), "field volume");
        this.units = parsePositive(required(fields, "units"), "units", deployment.maxUnits());
        this.shard = parseShard(required(fields, "shard"), deployment.shards());
        this.gatewayCount = (int) parsePositive(required(fields, "hosts"), "hosts", MAX_GATEWAYS);
        this.clientRetry = "1".equals(fields.get("r"));
        int fieldStart =
                fieldList.startsWith(DEADLINE_FIELD)
                        ? 0
                        : fieldList.indexOf("," + DEADLINE_FIELD) + 1;
        int valueStart = fieldStart + DEADLINE_FIELD.length();
        this.fieldsBeforeDeadline = fieldList.substring(0, valueStart);
        this.fieldsAfterDeadline = fieldList.substring(valueStart + fields.get("d").length());
    }

    /**
     * Parses and validates a command whose name is {@link #READ} or {@link #WRITE}.
     *
     * @throws BadCommandException if an argument or a field is missing or invalid
     */
    static BlockCommand parse(List<byte[]> arguments, Deployment deployment)
            throws BadCommandException {
        boolean isWrite = text(arguments.get(0)).equals(WRITE);
        int expectedArguments = isWrite ? READ_ARGUMENTS + 1 : READ_ARGUMENTS;
        if (arguments.size() != expectedArguments) {
            throw new BadCommandException(
                    (isWrite ? WRITE : READ)
                            + " with "
                            + (arguments.size() - 1)
                            + " arguments, expected "
                            + (expectedArguments - 1));
        }
        BlockCommand command = new BlockCommand(arguments, deployment);
        if (command.trafficClass.writes() != isWrite) {
            throw new BadCommandException(
                    isWrite
                            ? "field c: " + WRITE + " requires a traffic class that writes"
                            : "field c: " + READ + " requires a traffic class that does not write");
        }
        return command;
    }

    /** Returns the arguments of a decoded command, starting with its name. */
    static List<byte[]> arguments(Resp.Array command) {
        List<byte[]> arguments = new ArrayList<>(command.items().size());
        for (Resp item : command.items()) {
            arguments.add(((Resp.Bulk) item).bytes());
        }
        return arguments;
    }

    /** Decodes an argument as ISO-8859-1, one character per byte. */
    static String text(byte[] argument) {
        return new String(argument, StandardCharsets.ISO_8859_1);
    }

    /** Returns the total size of all arguments in bytes. */
    int sizeBytes() {
        int bytes = 0;
        for (byte[] argument : arguments) {
            bytes += argument.length;
        }
        return bytes;
    }

    /**
     * Returns the arguments to forward, with the deadline field set to the timeout in whole
     * milliseconds, at least 1.
     */
    List<byte[]> withTimeout(double timeoutMillis) {
        List<byte[]> forwarded = new ArrayList<>(arguments);
        String fieldList =
                fieldsBeforeDeadline + Math.max(1, (long) timeoutMillis) + fieldsAfterDeadline;
        forwarded.set(FIELDS_ARGUMENT, fieldList.getBytes(StandardCharsets.ISO_8859_1));
        return forwarded;
    }

    private static Map<String, String> parseFields(String fieldList) throws BadCommandException {
        if (fieldList.length() > MAX_FIELDS_BYTES) {
            throw new BadCommandException(
                    "field list of "
                            + fieldList.length()
                            + " bytes, expected at most "
                            + MAX_FIELDS_BYTES);
        }
        Map<String, String> fields = new HashMap<>();
        String[] fieldTexts = fieldList.split(",", -1);
        if (fieldTexts.length > MAX_FIELDS) {
            throw new BadCommandException(
                    fieldTexts.length + " fields, expected at most " + MAX_FIELDS);
        }
        for (String fieldText : fieldTexts) {
            int position = fields.size() + 1;
            int separator = fieldText.indexOf('=');
            if (separator <= 0 || !isPrintableAscii(fieldText)) {
                throw new BadCommandException(
                        "field "
                                + position
                                + ": expected name=value in printable ASCII without spaces");
            }
            if (fields.put(fieldText.substring(0, separator), fieldText.substring(separator + 1))
                    != null) {
                throw new BadCommandException(
                        "field " + position + ": duplicate name, expected each name once");
            }
        }
        return fields;
    }

    private static boolean isPrintableAscii(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) <= ' ' || text.charAt(i) > '~') {
                return false;
            }
        }
        return true;
    }

    private static String required(Map<String, String> fields, String name)
            throws BadCommandException {
        String value = fields.get(name);
        if (value == null || value.isEmpty()) {
            throw new BadCommandException("field " + name + " is missing or empty");
        }
        return value;
    }

    private static long parseId(String text, String description) throws BadCommandException {
        if (!NumberParser.isId(text)) {
            throw new BadCommandException(description + ": expected 16 hex digits in lower case");
        }
        return Long.parseUnsignedLong(text, 16);
    }

    private static double parsePositive(String text, String name, double max)
            throws BadCommandException {
        double value = NumberParser.parseDecimal(text);
        if (Double.isNaN(value)) {
            throw new BadCommandException(
                    "field "
                            + name
                            + ": expected an unsigned decimal number with at most "
                            + NumberParser.MAX_DIGITS
                            + " digits before and after the point");
        }
        if (!(value > 0) || value > max) {
            throw new BadCommandException(
                    "field "
                            + name
                            + " is "
                            + value
                            + ", expected a number greater than 0 and at most "
                            + max);
        }
        return value;
    }

    private static int parseShard(String text, int shards) throws BadCommandException {
        if (text.equals("-1")) {
            return -1;
        }
        int shard = NumberParser.parseInteger(text);
        if (shard < 0 || (shards > 0 && shard >= shards)) {
            throw new BadCommandException(
                    "field shard"
                            + (shard < 0 ? ":" : " is " + shard + ",")
                            + " expected -1 or "
                            + (shards > 0
                                    ? "0 to " + (shards - 1)
                                    : "an integer of 1 to 9 digits"));
        }
        return shard;
    }

    private static TrafficClass findTrafficClass(String name, Deployment deployment)
            throws BadCommandException {
        for (TrafficClass trafficClass : deployment.trafficClasses()) {
            if (trafficClass.name().equals(name)) {
                return trafficClass;
            }
        }
        throw new BadCommandException("field c: expected the name of a traffic class");
    }

    private static TenantPlan findPlan(String name, Deployment deployment)
            throws BadCommandException {
        for (TenantPlan plan : deployment.plans()) {
            if (plan.name().equals(name)) {
                return plan;
            }
        }
        throw new BadCommandException("field t: expected the name of a tenant plan");
    }
}
