package hopdrum.frontdoor.wire;

import java.nio.charset.StandardCharsets;

/** Text of the protocols, which is ASCII, as bytes. */
public final class Ascii {
    /** What {@link #parseDecimal} returns for bytes that are no number. */
    static final long NOT_A_NUMBER = -1;

    private static final int MAX_DIGITS = 15;
    private static final boolean[] TOKEN = new boolean[128];

    static {
        for (char c = '!'; c < 127; c++) {
            TOKEN[c] = "\"(),/:;<=>?@[\\]{}".indexOf(c) < 0;
        }
    }

    private Ascii() {}

    /**
     * The bytes of a text.
     *
     * @param text ASCII only
     */
    public static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** A whole decimal number without a sign, of 15 digits at most, or {@link #NOT_A_NUMBER}. */
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

    /** Appends a number in decimal; the caller has reserved room. */
    static void putDecimal(RingBuffer ring, long value) {
        ring.put(ascii(Long.toString(value)));
    }

    /** Whether a byte is HTTP's optional white space within a line. */
    static boolean isBlank(byte b) {
        return b == ' ' || b == '\t';
    }

    /** Whether a byte may stand in an HTTP token: a verb or a field's name. */
    static boolean isToken(byte b) {
        return b >= 0 && TOKEN[b];
    }
}
