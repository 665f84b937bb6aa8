package sagepulley.codec.resp;

/**
 * Parses the numbers in commands and replies strictly. Avoids regular expressions, because each
 * operation contains about a dozen numbers.
 */
public final class NumberParser {
    /** Maximum number of digits before and after the decimal point. */
    public static final int MAX_DIGITS = 12;

    private static final int ID_DIGITS = 16;

    private NumberParser() {}

    /** Returns whether the text is a valid id: 16 hex digits in lower case. */
    public static boolean isId(String text) {
        boolean valid = text.length() == ID_DIGITS;
        for (int i = 0; valid && i < ID_DIGITS; i++) {
            char c = text.charAt(i);
            valid = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
        }
        return valid;
    }

    /**
     * Parses a non-negative number with an optional fraction, with at most {@link #MAX_DIGITS}
     * digits before and after the point; returns NaN if the text is not one.
     */
    public static double parseDecimal(String text) {
        int point = text.indexOf('.');
        boolean valid =
                point < 0
                        ? isDigits(text, 0, text.length())
                        : isDigits(text, 0, point) && isDigits(text, point + 1, text.length());
        return valid ? Double.parseDouble(text) : Double.NaN;
    }

    /** Parses a non-negative integer of at most 9 digits; returns -1 if the text is not one. */
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

    /** Formats an id as in commands, with 16 hex digits in lower case. */
    public static String formatId(long id) {
        String hex = Long.toHexString(id);
        return "0".repeat(ID_DIGITS - hex.length()) + hex;
    }
}
