package hopdrum.frontdoor.wire;

import static hopdrum.frontdoor.wire.HttpReader.ascii;

import hopdrum.host.Method;
import java.util.List;

/** What a client's head says of its RPC: read from the fields of a whole HTTP request, and written for a backend. */
public final class RequestHead {
    private static final byte[] TRACE = ascii("x-trace-id");
    private static final byte[] QOS = ascii("x-qos");
    private static final byte[] PLAN = ascii("plan");
    private static final byte[] COOKIE = ascii("cookie");
    private static final byte[] EXPIRES = ascii("x-expires-in-ms");
    private static final byte[] KEY = ascii("idempotency-key");
    private static final byte[] QUOTA = ascii("quota-info");
    private static final byte[] GET = ascii("GET");
    private static final byte[] POST = ascii("POST");
    private static final byte[] RPC_PATH = ascii("/api");
    private static final byte[] READY = ascii("GET /health/ready ");
    // Fields that are spoken between two neighbours only, and those that this program writes itself.
    private static final List<byte[]> NOT_PASSED = List.of(
            ascii("connection"),
            ascii("keep-alive"),
            ascii("te"),
            ascii("trailer"),
            ascii("transfer-encoding"),
            ascii("upgrade"),
            ascii("proxy-connection"),
            ascii("expect"),
            ascii("content-length"),
            EXPIRES);
    private static final byte[] EXPIRES_LINE = ascii("X-Expires-In-Ms: ");
    private static final byte[] LENGTH_LINE = ascii("\r\nContent-Length: ");
    private static final byte[] HEAD_END = ascii("\r\n\r\n");
    private static final byte[] PASSED_ON = ascii("x-passed-on");
    private static final byte[] PASSED_ON_LINE = ascii("X-Passed-On: 1\r\n");
    private static final long MOST_CUSTOMER = 1L << 33;

    private static final double MOST_UNITS = 1e6; // where the settings name no most
    private static final int MOST_TRACE = 64;

    private final byte[][] methods;
    private final byte[][] plans;
    private final List<Method> rows;
    private final int mostGateways;
    private final double mostUnits;
    public String trace;
    public int method;
    public int plan;
    public long customer;
    public double units;
    public int gateways;
    public int firstGateway;
    public long leftMs;

    /** A most of 0 units is none. */
    public RequestHead(
            List<String> methods, List<String> plans, List<Method> rows, int mostGateways, double mostUnits) {
        this.rows = rows;
        this.mostGateways = mostGateways;
        this.mostUnits = mostUnits > 0 ? mostUnits : MOST_UNITS;
        this.methods = methods.stream().map(HttpReader::ascii).toArray(byte[][]::new);
        this.plans = plans.stream().map(HttpReader::ascii).toArray(byte[][]::new);
    }

    public static boolean asksReady(RingBuffer ring) {
        return ring.size() > READY.length && ring.matches(0, READY.length, READY);
    }

    /** Reads the fields of an RPC; a MalformedMessageException's status is the answer to what cannot be taken. */
    public void read(RingBuffer ring, HttpReader in) throws MalformedMessageException {
        int pathFrom = in.verbTo() + 1;
        int pathTo = pathFrom;
        while (pathTo < in.targetTo() && ring.at(pathTo) != '?') {
            pathTo++;
        }
        if (!ring.matches(pathFrom, pathTo, RPC_PATH)) {
            throw new MalformedMessageException(404, "unknown path");
        }
        int id = needed(ring, in, TRACE, "X-Trace-Id");
        if (in.valueFrom(id) == in.valueTo(id) || in.valueTo(id) - in.valueFrom(id) > MOST_TRACE) {
            throw new MalformedMessageException(400, "X-Trace-Id is empty or too long");
        }
        trace = ring.text(in.valueFrom(id), in.valueTo(id));
        method = choice(ring, in, needed(ring, in, QOS, "X-Qos"), methods, "X-Qos");
        plan = choice(ring, in, needed(ring, in, PLAN, "Plan"), plans, "Plan");
        customer = customer(ring, in);
        int expires = needed(ring, in, EXPIRES, "X-Expires-In-Ms");
        leftMs = HttpReader.number(ring, in.valueFrom(expires), in.valueTo(expires));
        if (leftMs < 0 || leftMs > Integer.MAX_VALUE) {
            throw new MalformedMessageException(400, "X-Expires-In-Ms is malformed");
        }
        quota(ring, in, needed(ring, in, QUOTA, "Quota-Info"));
        verb(ring, in);
    }

    /** What may be repeated is got, without a body; the rest is posted, and what is deduplicated needs its key. */
    private void verb(RingBuffer ring, HttpReader in) throws MalformedMessageException {
        Method.RetrySafety repeat = rows.get(method).retrySafety();
        boolean gets = repeat == Method.RetrySafety.IDEMPOTENT;
        if (!ring.matches(0, in.verbTo(), gets ? GET : POST)) {
            throw new MalformedMessageException(405, "the verb does not fit the method");
        }
        if (gets && in.bodyTo() > in.bodyFrom()) {
            throw new MalformedMessageException(400, "a body where there is none");
        }
        if (repeat == Method.RetrySafety.DEDUPLICATED) {
            int key = needed(ring, in, KEY, "Idempotency-Key");
            if (in.valueFrom(key) == in.valueTo(key)) {
                throw new MalformedMessageException(400, "Idempotency-Key is empty");
            }
        }
    }

    private static int needed(RingBuffer ring, HttpReader in, byte[] name, String shown)
            throws MalformedMessageException {
        int field = in.field(ring, name);
        if (field < 0) {
            throw new MalformedMessageException(400, "no " + shown);
        }
        for (int i = field + 1; i < in.fields(); i++) {
            if (in.isNamed(ring, i, name)) {
                throw new MalformedMessageException(
                        400, "more than one " + shown); // two readers could each take another
            }
        }
        return field;
    }

    private static int choice(RingBuffer ring, HttpReader in, int field, byte[][] names, String shown)
            throws MalformedMessageException {
        for (int i = 0; i < names.length; i++) {
            if (ring.matches(in.valueFrom(field), in.valueTo(field), names[i])) {
                return i;
            }
        }
        throw new MalformedMessageException(400, "unknown " + shown);
    }

    private static long customer(RingBuffer ring, HttpReader in) throws MalformedMessageException {
        int cookie = needed(ring, in, COOKIE, "Cookie");
        long customer = -1;
        int from = in.valueFrom(cookie);
        while (from < in.valueTo(cookie)) {
            int to = from;
            while (to < in.valueTo(cookie) && ring.at(to) != ';') {
                to++;
            }
            if (to - from >= 4
                    && ring.at(from) == 'k'
                    && ring.at(from + 1) == 'e'
                    && ring.at(from + 2) == 'y'
                    && ring.at(from + 3) == '=') {
                if (customer >= 0 || to - from != 20) {
                    throw new MalformedMessageException(400, "the cookie's key is malformed, or there are two");
                }
                customer = hex(ring, from + 4, to);
            }
            from = to + 1;
            while (from < in.valueTo(cookie) && ring.at(from) == ' ') {
                from++;
            }
        }
        if (customer < 0) {
            throw new MalformedMessageException(400, "no key in the cookie");
        }
        return customer;
    }

    private static long hex(RingBuffer ring, int from, int to) throws MalformedMessageException {
        long value = 0;
        for (int i = from; i < to; i++) {
            int digit = Character.digit(ring.at(i), 16);
            if (digit < 0 || (value >= MOST_CUSTOMER >> 4 && value * 16 + digit >= MOST_CUSTOMER)) {
                throw new MalformedMessageException(400, "the cookie's key is malformed");
            }
            value = value * 16 + digit;
        }
        return value;
    }

    /** units=2,spread=3,first=1 in any order, further names skipped; each is held against the settings. */
    private void quota(RingBuffer ring, HttpReader in, int field) throws MalformedMessageException {
        units = -1;
        gateways = -1;
        firstGateway = -1;
        for (String part : ring.text(in.valueFrom(field), in.valueTo(field)).split(",")) {
            int eq = part.indexOf('=');
            String name = eq < 0 ? "" : part.substring(0, eq).strip();
            String value = part.substring(eq + 1).strip();
            if (name.equals("units") && units < 0) {
                units = decimal(value);
            } else if (name.equals("spread") && gateways < 0) {
                gateways = (int) whole(value);
            } else if (name.equals("first") && firstGateway < 0) {
                firstGateway = (int) whole(value);
            } else if (List.of("units", "spread", "first").contains(name)) {
                throw new MalformedMessageException(400, "Quota-Info says one thing twice");
            }
        }
        if (!(units > 0 && units <= mostUnits)
                || gateways < 1
                || gateways > mostGateways
                || firstGateway < 0
                || firstGateway >= mostGateways) {
            throw new MalformedMessageException(400, "Quota-Info is malformed or out of range");
        }
    }

    private static long whole(String value) throws MalformedMessageException {
        if (value.isEmpty() || value.length() > 9 || !value.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new MalformedMessageException(400, "Quota-Info holds no number");
        }
        return Long.parseLong(value);
    }

    /** Digits with a point among them at most: no sign, exponent, hexadecimal figure or suffix. */
    private static double decimal(String value) throws MalformedMessageException {
        int point = value.indexOf('.');
        return point < 0
                ? whole(value)
                : whole(value.substring(0, point))
                        + whole(value.substring(point + 1)) / Math.pow(10, value.length() - point - 1);
    }

    /** The mark of an RPC that a front door of another tier has passed on to here. */
    public static boolean isPassedOn(RingBuffer ring, HttpReader in) {
        return in.field(ring, PASSED_ON) >= 0;
    }

    /**
     * Writes the RPC for a backend: all that the client sent but what is between neighbours; false without room. For a front
     * door of another tier it is marked, so that it goes no further.
     */
    public static boolean forward(RingBuffer from, HttpReader in, long waitMs, boolean toDoor, RingBuffer to) {
        if (!to.reserve(in.bodyTo() + 128)) {
            return false;
        }
        int line = in.fields() > 0 ? in.nameFrom(0) : in.bodyFrom() - 2;
        to.put(from, 0, line);
        passFields(from, in, NOT_PASSED, to);
        if (toDoor) {
            to.put(PASSED_ON_LINE);
        }
        to.put(EXPIRES_LINE);
        HttpWriter.number(to, waitMs);
        int length = in.bodyTo() - in.bodyFrom();
        if (length > 0 || from.at(0) != 'G') {
            to.put(LENGTH_LINE);
            HttpWriter.number(to, length);
        }
        to.put(HEAD_END);
        to.put(from, in.bodyFrom(), length);
        return true;
    }

    /** Copies the lines of the fields that pass on; neighbours in one piece. */
    static void passFields(RingBuffer from, HttpReader in, List<byte[]> notPassed, RingBuffer to) {
        int start = -1;
        for (int i = 0; i < in.fields(); i++) {
            boolean passes = true;
            for (byte[] name : notPassed) {
                if (in.isNamed(from, i, name)) {
                    passes = false;
                    break;
                }
            }
            if (passes && start < 0) {
                start = in.nameFrom(i);
            } else if (!passes && start >= 0) {
                to.put(from, start, in.nameFrom(i) - start);
                start = -1;
            }
        }
        if (start >= 0) {
            to.put(from, start, in.bodyFrom() - 2 - start);
        }
    }
}
