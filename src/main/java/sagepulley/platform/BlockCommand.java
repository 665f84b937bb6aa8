package sagepulley.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagepulley.codec.resp.Resp;
import sagepulley.model.Deployment;
import sagepulley.model.TenantPlan;
import sagepulley.model.TrafficClass;

/**
 * A client's read or write of a piece of data, checked field by field, and the words that go to a
 * node.
 */
final class BlockCommand {
    static final String READ = "BLK.READ";
    static final String WRITE = "BLK.WRITE";

    /** Bytes of the longest list of fields. */
    static final int LONGEST_FIELDS = 1024;

    private static final int MOST_FIELDS = 32;
    private static final int READ_WORDS = 4;
    private static final double LONGEST_PATIENCE = 24 * 3_600_000;

    final long id;
    final long extent;
    final TrafficClass trafficClass;
    final TenantPlan plan;
    final double patience;
    final long volume;
    final double units;
    final int shard;
    final int gateways;
    final boolean repeat;
    private final List<byte[]> words;

    /** The fields as they came, less the patience, whose place is known. */
    private final String beforePatience;

    private final String afterPatience;

    private BlockCommand(List<byte[]> words, Deployment deployment) throws BadCommandException {
        this.words = words;
        this.extent = hex(text(words.get(1)), "the piece");
        this.id = hex(text(words.get(2)), "the id");
        String list = text(words.get(3));
        Map<String, String> fields = fields(list);
        this.trafficClass = band(need(fields, "c"), deployment);
        this.plan = plan(need(fields, "t"), deployment);
        this.patience = number(need(fields, "d"), "d", LONGEST_PATIENCE);
        this.volume = hex(need(fields, "volume"), "volume");
        this.units = number(need(fields, "units"), "units", deployment.maxUnits());
        this.shard = shard(need(fields, "shard"), deployment.shards());
        this.gateways = (int) number(need(fields, "hosts"), "hosts", 1e6);
        this.repeat = "1".equals(fields.get("r"));
        int at = list.startsWith("d=") ? 0 : list.indexOf(",d=") + 1;
        this.beforePatience = list.substring(0, at + 2);
        this.afterPatience = list.substring(at + 2 + fields.get("d").length());
    }

    /** Checks a command whose first word is one of the two. */
    static BlockCommand read(List<byte[]> words, Deployment deployment) throws BadCommandException {
        boolean writes = text(words.get(0)).equals(WRITE);
        if (words.size() != (writes ? READ_WORDS + 1 : READ_WORDS)) {
            throw new BadCommandException("wrong number of words");
        }
        BlockCommand command = new BlockCommand(words, deployment);
        if (command.trafficClass.writes() != writes) {
            throw new BadCommandException(
                    "c=" + command.trafficClass.name() + " does not go with the command");
        }
        return command;
    }

    static List<byte[]> words(Resp.Array command) {
        List<byte[]> words = new ArrayList<>(command.items().size());
        for (Resp item : command.items()) {
            words.add(((Resp.Bulk) item).bytes());
        }
        return words;
    }

    static String text(byte[] word) {
        return new String(word, StandardCharsets.ISO_8859_1);
    }

    int bytes() {
        int bytes = 0;
        for (byte[] word : words) {
            bytes += word.length;
        }
        return bytes;
    }

    /** The same command for a node that is given so many milliseconds. */
    List<byte[]> forNode(double timeout) {
        List<byte[]> out = new ArrayList<>(words);
        String list = beforePatience + Math.max(1, (long) timeout) + afterPatience;
        out.set(3, list.getBytes(StandardCharsets.ISO_8859_1));
        return out;
    }

    private static Map<String, String> fields(String list) throws BadCommandException {
        if (list.length() > LONGEST_FIELDS) {
            throw new BadCommandException("fields of over " + LONGEST_FIELDS + " bytes");
        }
        Map<String, String> fields = new HashMap<>();
        String[] parts = list.split(",", -1);
        if (parts.length > MOST_FIELDS) {
            throw new BadCommandException("over " + MOST_FIELDS + " fields");
        }
        for (String part : parts) {
            int sign = part.indexOf('=');
            if (sign <= 0 || !isPlain(part)) {
                throw new BadCommandException("a field that is no name=value");
            }
            if (fields.put(part.substring(0, sign), part.substring(sign + 1)) != null) {
                throw new BadCommandException("a field that stands twice");
            }
        }
        return fields;
    }

    private static boolean isPlain(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) <= ' ' || text.charAt(i) > '~') {
                return false;
            }
        }
        return true;
    }

    private static String need(Map<String, String> fields, String name) throws BadCommandException {
        String value = fields.get(name);
        if (value == null || value.isEmpty()) {
            throw new BadCommandException(name + " is missing");
        }
        return value;
    }

    private static long hex(String text, String what) throws BadCommandException {
        if (!NumberParser.isId(text)) {
            throw new BadCommandException(what + " has not 16 hex digits");
        }
        return Long.parseUnsignedLong(text, 16);
    }

    private static double number(String text, String name, double most) throws BadCommandException {
        double value = NumberParser.number(text);
        if (Double.isNaN(value)) {
            throw new BadCommandException(name + " is no number");
        }
        if (!(value > 0) || value > most) {
            throw new BadCommandException(name + " is out of range");
        }
        return value;
    }

    private static int shard(String text, int shards) throws BadCommandException {
        if (text.equals("-1")) {
            return -1;
        }
        int shard = NumberParser.whole(text);
        if (shard < 0 || (shards > 0 && shard >= shards)) {
            throw new BadCommandException("there is no such shard");
        }
        return shard;
    }

    private static TrafficClass band(String name, Deployment deployment)
            throws BadCommandException {
        for (TrafficClass trafficClass : deployment.trafficClasses()) {
            if (trafficClass.name().equals(name)) {
                return trafficClass;
            }
        }
        throw new BadCommandException("there is no such class");
    }

    private static TenantPlan plan(String name, Deployment deployment) throws BadCommandException {
        for (TenantPlan plan : deployment.plans()) {
            if (plan.name().equals(name)) {
                return plan;
            }
        }
        throw new BadCommandException("there is no such plan");
    }
}
