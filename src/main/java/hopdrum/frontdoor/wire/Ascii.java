package hopdrum.frontdoor.wire;

import java.nio.charset.StandardCharsets;

/** Converts and classifies the ASCII text of the protocols as bytes. */
public final class Ascii {
    /** The result of {@link #parseDecimal} for bytes that are not a decimal number. */
    static final long NOT_A_NUMBER = -1;

    private static final int MAX_DIGITS = 15;
    private static final boolean[] IS_TOKEN_CHARACTER = new boolean[128];

    static {
        for (char c = '!'; c < 127; c++) {
            IS_TOKEN_CHARACTER[c] = "\"(),/:;<=>?@[\\]{}".indexOf(c) < 0;
        }
    }

    private Ascii() {}

    /**
     * Returns the ASCII bytes of a text.
     *
     * @param text ASCII characters only
     */
    public static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** Parses an unsigned decimal integer of at most 15 digits; {@link #NOT_A_NUMBER} if the range holds none. */
    static long parseDecimal(RingBuffer ring, int from, int to) {
        if (from == to || to - from > MAX_DIGITS) {
            return NOT_A_NUMBER;
        }
        long value = 0;
        for (int i = from; i < to; i++) {
            int digit = ring.at(i) - '0';
            if (digit < 0 || digit > 9) {
                return NOT_A_NUMBER;
            }
            value = value * 10 + digit;
        }
        return value;
    }

    /** Appends a number in decimal notation; the caller has reserved the space. */
    static void putDecimal(RingBuffer ring, long value) {
        ring.put(ascii(Long.toString(value)));
    }

    /** Whether a byte is optional whitespace within a line of an HTTP head: a space or a tab. */
    static boolean isWhitespace(byte b) {
        return b == ' ' || b == '\t';
    }

    /** Whether a byte is allowed in an HTTP token, such as an HTTP method or the name of a header field. */
    static boolean isTokenCharacter(byte b) {
        return b >= 0 && IS_TOKEN_CHARACTER[b];
    }
}
