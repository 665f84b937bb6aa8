package sagepulley.codec.resp;

/**
 * Parses the numbers in commands and replies strictly, and without regular expressions, since each
 * operation has a dozen of them.
 */
public final class NumberParser {
    private static final int ID_DIGITS = 16;
    private static final int MAX_DIGITS = 12;

    private NumberParser() {}

    /** Whether the text is 16 hex digits in lower case, as all ids are. */
    public static boolean isId(String text) {
        boolean valid = text.length() == ID_DIGITS;
        for (int i = 0; valid && i < ID_DIGITS; i++) {
            char c = text.charAt(i);
            valid = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
        }
        return valid;
    }

    /** A number of 0 or more, with or without a fraction; NaN if it is none. */
    public static double parseDecimal(String text) {
        int point = text.indexOf('.');
        boolean valid =
                point < 0
                        ? isDigits(text, 0, text.length())
                        : isDigits(text, 0, point) && isDigits(text, point + 1, text.length());
        return valid ? Double.parseDouble(text) : Double.NaN;
    }

    /** A whole number of 0 or more; -1 if it is none. */
    public static int parseInteger(String text) {
        return isDigits(text, 0, text.length()) && text.length() <= 9 ? Integer.parseInt(text) : -1;
    }

    private static boolean isDigits(String text, int from, int to) {
        boolean valid = to > from && to - from <= MAX_DIGITS;
        for (int i = from; valid && i < to; i++) {
            valid = text.charAt(i) >= '0' && text.charAt(i) <= '9';
        }
        return valid;
    }

    /** An id as it stands in commands. */
    public static String formatId(long id) {
        String hex = Long.toHexString(id);
        return "0".repeat(ID_DIGITS - hex.length()) + hex;
    }
}
