package sagepulley.platform;

/**
 * Numbers in commands and answers, read strictly and without a pattern: each operation has a dozen
 * of them.
 */
final class NumberParser {
    private static final int HEX_DIGITS = 16;
    private static final int MOST_DIGITS = 12;

    private NumberParser() {}

    /** Whether the text is 16 hex digits in lower case, as all ids are. */
    static boolean isId(String text) {
        boolean well = text.length() == HEX_DIGITS;
        for (int i = 0; well && i < HEX_DIGITS; i++) {
            char c = text.charAt(i);
            well = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
        }
        return well;
    }

    /** A number of 0 or more, with or without a fraction; NaN if it is none. */
    static double number(String text) {
        int point = text.indexOf('.');
        boolean well =
                point < 0
                        ? digits(text, 0, text.length())
                        : digits(text, 0, point) && digits(text, point + 1, text.length());
        return well ? Double.parseDouble(text) : Double.NaN;
    }

    /** A whole number of 0 or more; -1 if it is none. */
    static int whole(String text) {
        return digits(text, 0, text.length()) && text.length() <= 9 ? Integer.parseInt(text) : -1;
    }

    private static boolean digits(String text, int from, int to) {
        boolean well = to > from && to - from <= MOST_DIGITS;
        for (int i = from; well && i < to; i++) {
            well = text.charAt(i) >= '0' && text.charAt(i) <= '9';
        }
        return well;
    }

    /** An id as it is written. */
    static String id(long id) {
        String hex = Long.toHexString(id);
        return "0".repeat(HEX_DIGITS - hex.length()) + hex;
    }
}
