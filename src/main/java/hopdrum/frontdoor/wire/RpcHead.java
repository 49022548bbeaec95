package hopdrum.frontdoor.wire;

import static hopdrum.frontdoor.wire.HttpReader.ascii;

import java.util.List;

/** What a client's head says of its RPC: read from the fields of a whole HTTP request, and written for a backend. */
public final class RpcHead {
    private static final byte[] TRACE = ascii("x-trace-id");
    private static final byte[] QOS = ascii("x-qos");
    private static final byte[] PLAN = ascii("plan");
    private static final byte[] COOKIE = ascii("cookie");
    private static final byte[] EXPIRES = ascii("x-expires-in-ms");
    private static final byte[] KEY = ascii("idempotency-key");
    private static final byte[] QUOTA = ascii("quota-info");
    private static final byte[] RPC_PATH = ascii("/api");
    private static final byte[] READY = ascii("GET /health/ready ");
    // Fields that are spoken between two neighbours only, and those that this program writes itself.
    private static final List<byte[]> NOT_PASSED = List.of(ascii("connection"), ascii("keep-alive"), ascii("te"),
            ascii("trailer"), ascii("transfer-encoding"), ascii("upgrade"), ascii("proxy-connection"),
            ascii("expect"), ascii("content-length"), EXPIRES);
    private static final byte[] EXPIRES_LINE = ascii("X-Expires-In-Ms: ");
    private static final byte[] LENGTH_LINE = ascii("\r\nContent-Length: ");
    private static final byte[] HEAD_END = ascii("\r\n\r\n");
    private static final long MOST_CUSTOMER = 1L << 33;

    private final byte[][] methods;
    private final byte[][] plans;
    public int method;
    public int plan;
    public long customer;
    public double units;
    public int gateways;
    public int firstGateway;
    public long leftMs;

    public RpcHead(List<String> methods, List<String> plans) {
        this.methods = methods.stream().map(HttpReader::ascii).toArray(byte[][]::new);
        this.plans = plans.stream().map(HttpReader::ascii).toArray(byte[][]::new);
    }

    public static boolean asksReady(Ring ring) {
        return ring.size() > READY.length && ring.matches(0, READY.length, READY);
    }

    /** Reads the fields of an RPC; a BadMessage's status is the answer to what cannot be taken. */
    public void read(Ring ring, HttpReader in) throws BadMessage {
        int pathFrom = in.verbTo() + 1;
        int pathTo = pathFrom;
        while (pathTo < in.targetTo() && ring.at(pathTo) != '?') {
            pathTo++;
        }
        if (!ring.matches(pathFrom, pathTo, RPC_PATH)) {
            throw new BadMessage(404, "unknown path");
        }
        int trace = needed(ring, in, TRACE, "X-Trace-Id");
        if (in.valueFrom(trace) == in.valueTo(trace)) {
            throw new BadMessage(400, "X-Trace-Id is empty");
        }
        method = choice(ring, in, needed(ring, in, QOS, "X-Qos"), methods, "X-Qos");
        plan = choice(ring, in, needed(ring, in, PLAN, "Plan"), plans, "Plan");
        customer = customer(ring, in);
        int expires = needed(ring, in, EXPIRES, "X-Expires-In-Ms");
        leftMs = HttpReader.number(ring, in.valueFrom(expires), in.valueTo(expires));
        if (leftMs < 0 || leftMs > Integer.MAX_VALUE) {
            throw new BadMessage(400, "X-Expires-In-Ms is malformed");
        }
        quota(ring, in, needed(ring, in, QUOTA, "Quota-Info"));
    }

    public boolean isMarked(Ring ring, HttpReader in) {
        return in.field(ring, KEY) >= 0;
    }

    private static int needed(Ring ring, HttpReader in, byte[] name, String shown) throws BadMessage {
        int field = in.field(ring, name);
        if (field < 0) {
            throw new BadMessage(400, "no " + shown);
        }
        return field;
    }

    private static int choice(Ring ring, HttpReader in, int field, byte[][] names, String shown) throws BadMessage {
        for (int i = 0; i < names.length; i++) {
            if (ring.matches(in.valueFrom(field), in.valueTo(field), names[i])) {
                return i;
            }
        }
        throw new BadMessage(400, "unknown " + shown);
    }

    private static long customer(Ring ring, HttpReader in) throws BadMessage {
        for (int i = 0; i < in.fields(); i++) {
            if (!in.isNamed(ring, i, COOKIE)) {
                continue;
            }
            int from = in.valueFrom(i);
            while (from < in.valueTo(i)) {
                int to = from;
                while (to < in.valueTo(i) && ring.at(to) != ';') {
                    to++;
                }
                if (to - from == 20 && ring.at(from) == 'k' && ring.at(from + 1) == 'e' && ring.at(from + 2) == 'y'
                        && ring.at(from + 3) == '=') {
                    return hex(ring, from + 4, to);
                }
                from = to + 1;
                while (from < in.valueTo(i) && ring.at(from) == ' ') {
                    from++;
                }
            }
        }
        throw new BadMessage(400, "no key in a cookie");
    }

    private static long hex(Ring ring, int from, int to) throws BadMessage {
        long value = 0;
        for (int i = from; i < to; i++) {
            int digit = Character.digit(ring.at(i), 16);
            if (digit < 0 || value >= MOST_CUSTOMER >> 4 && value * 16 + digit >= MOST_CUSTOMER) {
                throw new BadMessage(400, "the cookie's key is malformed");
            }
            value = value * 16 + digit;
        }
        return value;
    }

    /** units=2,spread=3,first=1 in any order, further names skipped. */
    private void quota(Ring ring, HttpReader in, int field) throws BadMessage {
        units = -1;
        gateways = -1;
        firstGateway = -1;
        for (String part : ring.text(in.valueFrom(field), in.valueTo(field)).split(",")) {
            int eq = part.indexOf('=');
            String name = eq < 0 ? "" : part.substring(0, eq).strip();
            try {
                switch (name) {
                    case "units" -> units = Double.parseDouble(part.substring(eq + 1));
                    case "spread" -> gateways = Integer.parseInt(part.substring(eq + 1).strip());
                    case "first" -> firstGateway = Integer.parseInt(part.substring(eq + 1).strip());
                    default -> { }
                }
            } catch (NumberFormatException e) {
                throw new BadMessage(400, "Quota-Info is malformed");
            }
        }
        if (!(units >= 0 && units <= 1e9) || gateways < 1 || firstGateway < 0) {
            throw new BadMessage(400, "Quota-Info is malformed");
        }
    }

    /** Writes the RPC for a backend: all that the client sent but what is between neighbours; false without room. */
    public static boolean forward(Ring from, HttpReader in, long waitMs, Ring to) {
        if (!to.reserve(in.bodyTo() + 128)) {
            return false;
        }
        int line = in.fields() > 0 ? in.nameFrom(0) : in.bodyFrom() - 2;
        to.put(from, 0, line);
        passFields(from, in, NOT_PASSED, to);
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
    static void passFields(Ring from, HttpReader in, List<byte[]> notPassed, Ring to) {
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
