package sagepulley.upstream.resp;

import java.util.List;
import sagepulley.codec.resp.NumberParser;
import sagepulley.codec.resp.Resp;
import sagepulley.model.Attempt;

/** Extracts the value, the usage fields and the load report from an endpoint's reply. */
public final class EndpointReply {
    private static final int VALUE_ITEM = 0;
    private static final int USAGE_ITEM = 1;
    private static final int REPORT_ITEM = 2;
    private static final double MAX_FIELD_VALUE = 1e9;

    private EndpointReply() {}

    /** Returns the value of a reply whose outcome is SERVED. */
    public static byte[] value(Resp reply) {
        return ((Resp.Bulk) ((Resp.Array) reply).items().get(VALUE_ITEM)).bytes();
    }

    /**
     * Records the usage fields and the load report of a reply in its attempt; ignores invalid ones.
     */
    public static void recordIn(Attempt attempt, Resp reply, List<String> reportFields) {
        if (reply instanceof Resp.Array array
                && array.items() != null
                && array.items().size() > REPORT_ITEM) {
            recordUsage(attempt, text(array.items().get(USAGE_ITEM)));
            attempt.report = parseReport(array.items().get(REPORT_ITEM), reportFields);
        } else if (reply instanceof Resp.Line line && line.isError()) {
            for (String field : line.text().split(" ")) {
                recordUsage(attempt, field);
                double[] report = parseReport(field, reportFields);
                attempt.report = report != null ? report : attempt.report;
            }
        }
    }

    private static void recordUsage(Attempt attempt, String text) {
        double used = parseField(text, "used");
        if (used >= 0) {
            attempt.planUsagePercent = used;
        }
        double cost = parseField(text, "cost");
        if (cost >= 0) {
            attempt.otherGatewaysUnits = cost;
        }
    }

    /**
     * Parses a load report in the order of the fields; returns null if one is missing or invalid,
     * or if there are no fields.
     */
    public static double[] parseReport(Resp item, List<String> fields) {
        return parseReport(text(item), fields);
    }

    private static double[] parseReport(String text, List<String> fields) {
        if (fields.isEmpty() || text.isEmpty()) {
            return null;
        }
        double[] values = new double[fields.size()];
        for (int i = 0; i < values.length; i++) {
            values[i] = parseField(text, fields.get(i));
            if (!(values[i] >= 0)) {
                return null;
            }
        }
        return values;
    }

    private static String text(Resp item) {
        return item instanceof Resp.Bulk bulk && !bulk.isNull() ? bulk.text() : "";
    }

    /** Returns the named field of a list of name=value pairs; NaN if it is missing or invalid. */
    private static double parseField(String text, String name) {
        for (String field : text.split(",")) {
            if (field.startsWith(name + "=")) {
                double value = NumberParser.parseDecimal(field.substring(name.length() + 1));
                return value <= MAX_FIELD_VALUE ? value : Double.NaN;
            }
        }
        return Double.NaN;
    }
}
