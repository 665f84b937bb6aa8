package sagepulley.upstream.resp;

import java.util.List;
import sagepulley.codec.resp.NumberParser;
import sagepulley.codec.resp.Resp;
import sagepulley.model.Attempt;

/** What an endpoint's reply holds: a value, usage figures, and a report of its load. */
public final class EndpointResponse {
    private static final int VALUE_ITEM = 0;
    private static final int USAGE_ITEM = 1;
    private static final int REPORT_ITEM = 2;
    private static final double MAX_FIELD_VALUE = 1e9;

    private EndpointResponse() {}

    /** The value of a reply whose outcome is SERVED. */
    public static byte[] value(Resp reply) {
        return ((Resp.Bulk) ((Resp.Array) reply).items().get(VALUE_ITEM)).bytes();
    }

    /** Records a reply's usage figures and load report; what cannot be read is left out. */
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

    /** A load report in the order of its fields; null if one is missing. */
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

    /** The figure of this name in a list of names and values; NaN if there is none. */
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
