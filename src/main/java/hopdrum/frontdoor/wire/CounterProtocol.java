package hopdrum.frontdoor.wire;

import static hopdrum.frontdoor.wire.Ascii.ascii;

import hopdrum.host.Outcome;

/** Writes requests to the shared counter and reads its responses. */
public final class CounterProtocol {
    private static final byte[] REQUEST_START = ascii("POST /v2/numbers/");
    private static final byte[] DELTA_PARAMETER = ascii("?delta=");
    private static final byte[] TIME_TO_LIVE_PARAMETER = ascii("&life_ms=");
    private static final byte[] REQUEST_END = ascii(" HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n");
    private static final int MAX_REQUEST_BYTES = 192;
    private static final double MAX_AMOUNT = 1e9;
    private static final long MILLIONTHS_PER_UNIT = 1_000_000;

    private CounterProtocol() {}

    /**
     * Writes one request, which adds an amount to a number that the counter keeps.
     *
     * @param name the name of the number
     * @param amount units to add, rounded to a millionth and limited to the range from -1e9 to 1e9
     * @param timeToLiveMs how long the counter keeps the number if it is new, in milliseconds; at least 1 is written
     * @param out the buffer that the request is appended to
     * @return false if the buffer has too little space; nothing is written then
     */
    public static boolean writeRequest(long name, double amount, long timeToLiveMs, RingBuffer out) {
        if (!out.reserve(MAX_REQUEST_BYTES)) {
            return false;
        }
        out.put(REQUEST_START);
        out.put(ascii(Long.toHexString(name)));
        out.put(DELTA_PARAMETER);
        out.put(ascii(formatDecimal(amount)));
        out.put(TIME_TO_LIVE_PARAMETER);
        Ascii.putDecimal(out, Math.max(1, timeToLiveMs));
        out.put(REQUEST_END);
        return true;
    }

    /** Formats an amount in decimal notation without an exponent, rounded to a millionth. */
    static String formatDecimal(double amount) {
        long millionths = Math.round(Math.max(-MAX_AMOUNT, Math.min(MAX_AMOUNT, amount)) * 1e6);
        long fraction = Math.abs(millionths % MILLIONTHS_PER_UNIT);
        String whole = (millionths < 0 ? "-" : "") + Math.abs(millionths / MILLIONTHS_PER_UNIT);
        return fraction == 0
                ? whole
                : whole + "." + Long.toString(MILLIONTHS_PER_UNIT + fraction).substring(1);
    }

    /**
     * Reads the counter's response to a request.
     *
     * @param ring the buffer with the response at its front
     * @param response the reader that has read the response
     * @throws MalformedMessageException if the status is none of 200, 400, 404 and 503, or if the total of a response
     *     with status 200 is not a finite number
     */
    public static CounterReply readReply(RingBuffer ring, HttpReader response) throws MalformedMessageException {
        return switch (response.status()) {
            case 200 -> new CounterReply(Outcome.OK, readTotal(ring, response));
            case 400, 404, 503 -> new CounterReply(Outcome.AT_CAPACITY, 0);
            default ->
                throw new MalformedMessageException(400, "the counter responded with status " + response.status());
        };
    }

    /** Reads the total of the number, in units, from a response with status 200. */
    static double readTotal(RingBuffer ring, HttpReader response) throws MalformedMessageException {
        try {
            double total = Double.parseDouble(
                    ring.text(response.bodyFrom(), response.bodyTo()).strip());
            if (Double.isFinite(total)) {
                return total;
            }
        } catch (NumberFormatException e) {
            // The exception below reports this case together with infinite values and NaN.
        }
        throw new MalformedMessageException(400, "the counter's total is not a finite number");
    }
}
