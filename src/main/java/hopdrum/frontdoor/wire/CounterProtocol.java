package hopdrum.frontdoor.wire;

import static hopdrum.frontdoor.wire.HttpReader.ascii;

import hopdrum.host.Outcome;

/** Calls on the counter, and what its answers say. */
public final class CounterProtocol {
    private static final byte[] CALL = ascii("POST /v2/numbers/");
    private static final byte[] DELTA = ascii("?delta=");
    private static final byte[] LIFE = ascii("&life_ms=");
    private static final byte[] REST = ascii(" HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n");
    private static final double MOST = 1e9;

    private CounterProtocol() {}

    /** Writes one call; false without room. */
    public static boolean call(long name, double amount, long lifeMs, RingBuffer to) {
        if (!to.reserve(192)) {
            return false;
        }
        to.put(CALL);
        to.put(ascii(Long.toHexString(name)));
        to.put(DELTA);
        to.put(ascii(decimal(amount)));
        to.put(LIFE);
        HttpWriter.number(to, Math.max(1, lifeMs));
        to.put(REST);
        return true;
    }

    /** Without an exponent, to a millionth. */
    static String decimal(double amount) {
        long millionths = Math.round(Math.max(-MOST, Math.min(MOST, amount)) * 1e6);
        long part = Math.abs(millionths % 1_000_000);
        String whole = (millionths < 0 ? "-" : "") + Math.abs(millionths / 1_000_000);
        return part == 0 ? whole : whole + "." + Long.toString(1_000_000 + part).substring(1);
    }

    public static Outcome outcome(HttpReader in) throws MalformedMessageException {
        return switch (in.status()) {
            case 200 -> Outcome.OK;
            case 400, 404, 503 -> Outcome.AT_CAPACITY;
            default -> throw new MalformedMessageException(400, "the counter answers " + in.status());
        };
    }

    /** The total of an answer of 200. */
    public static double total(RingBuffer ring, HttpReader in) throws MalformedMessageException {
        try {
            double total =
                    Double.parseDouble(ring.text(in.bodyFrom(), in.bodyTo()).strip());
            if (Double.isFinite(total)) {
                return total;
            }
        } catch (NumberFormatException e) {
            // named below, together with what is no finite number
        }
        throw new MalformedMessageException(400, "the counter's total is no number");
    }
}
