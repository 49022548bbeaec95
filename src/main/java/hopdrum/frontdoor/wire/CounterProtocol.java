package hopdrum.frontdoor.wire;

import static hopdrum.frontdoor.wire.Ascii.ascii;

import hopdrum.host.Outcome;

/** Calls to the shared counter, and what its responses say. */
public final class CounterProtocol {
    private static final byte[] CALL = ascii("POST /v2/numbers/");
    private static final byte[] DELTA = ascii("?delta=");
    private static final byte[] TIME_TO_LIVE = ascii("&life_ms=");
    private static final byte[] REST = ascii(" HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n");
    private static final int MAX_CALL_BYTES = 192;
    private static final double MAX_AMOUNT = 1e9;
    private static final long MILLIONTHS = 1_000_000;

    private CounterProtocol() {}

    /**
     * Writes one call, which adds an amount to a number.
     *
     * @param name the number's name
     * @param amount units to add, rounded to a millionth and bounded to a thousand million either way
     * @param timeToLiveMs how long a number that is new is kept; 1 at least is written
     * @return false, and nothing is written, without room
     */
    public static boolean writeRequest(long name, double amount, long timeToLiveMs, RingBuffer out) {
        if (!out.reserve(MAX_CALL_BYTES)) {
            return false;
        }
        out.put(CALL);
        out.put(ascii(Long.toHexString(name)));
        out.put(DELTA);
        out.put(ascii(decimal(amount)));
        out.put(TIME_TO_LIVE);
        Ascii.putDecimal(out, Math.max(1, timeToLiveMs));
        out.put(REST);
        return true;
    }

    /** Without an exponent, to a millionth. */
    static String decimal(double amount) {
        long millionths = Math.round(Math.max(-MAX_AMOUNT, Math.min(MAX_AMOUNT, amount)) * 1e6);
        long fraction = Math.abs(millionths % MILLIONTHS);
        String whole = (millionths < 0 ? "-" : "") + Math.abs(millionths / MILLIONTHS);
        return fraction == 0
                ? whole
                : whole + "." + Long.toString(MILLIONTHS + fraction).substring(1);
    }

    /**
     * Reads the counter's response to a call.
     *
     * @param ring the ring with the response at its front
     * @param response the reader that has read it
     * @throws MalformedMessageException if the counter gives no such status, or the total is no finite number
     */
    public static CounterReply readReply(RingBuffer ring, HttpReader response) throws MalformedMessageException {
        return switch (response.status()) {
            case 200 -> new CounterReply(Outcome.OK, total(ring, response));
            case 400, 404, 503 -> new CounterReply(Outcome.AT_CAPACITY, 0);
            default ->
                throw new MalformedMessageException(400, "the counter responded with status " + response.status());
        };
    }

    /** The number's total in units, from a response of status 200. */
    static double total(RingBuffer ring, HttpReader response) throws MalformedMessageException {
        try {
            double total = Double.parseDouble(
                    ring.text(response.bodyFrom(), response.bodyTo()).strip());
            if (Double.isFinite(total)) {
                return total;
            }
        } catch (NumberFormatException e) {
            // named below, together with what is no finite number
        }
        throw new MalformedMessageException(400, "the counter's total is not a number");
    }
}
