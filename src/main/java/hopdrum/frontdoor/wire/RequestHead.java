package hopdrum.frontdoor.wire;

import static hopdrum.frontdoor.wire.Ascii.ascii;

import hopdrum.host.Method;
import java.util.List;

/**
 * What the head of a client's request says of its RPC. One object is used for all requests of an event loop, so that
 * none is made for each: the public fields stand from one {@link #read} to the next.
 */
public final class RequestHead {
    private static final byte[] TRACE_ID = ascii("x-trace-id");
    private static final byte[] QOS = ascii("x-qos");
    private static final byte[] PLAN = ascii("plan");
    private static final byte[] COOKIE = ascii("cookie");
    private static final byte[] COOKIE_KEY = ascii("key=");
    private static final byte[] EXPIRES = ascii("x-expires-in-ms");
    private static final byte[] IDEMPOTENCY_KEY = ascii("idempotency-key");
    private static final byte[] QUOTA_INFO = ascii("quota-info");
    private static final byte[] GET = ascii("GET");
    private static final byte[] POST = ascii("POST");
    private static final byte[] RPC_PATH = ascii("/api");
    private static final byte[] READINESS_CHECK = ascii("GET /health/ready ");
    private static final List<String> QUOTA_NAMES = List.of("units", "spread", "first");

    private static final int CUSTOMER_DIGITS = 16;
    private static final long CUSTOMER_LIMIT = 1L << 33;
    private static final double DEFAULT_MAX_UNITS = 1e6;
    private static final int MAX_TRACE_ID_BYTES = 64;
    private static final int MAX_QUOTA_DIGITS = 9;

    private final byte[][] methodNames;
    private final byte[][] planNames;
    private final List<Method> methods;
    private final int maxGateways;
    private final double maxUnits;
    /** The request's id, as its client has chosen it. */
    public String traceId;
    /** The method's number in the settings. */
    public int method;
    /** The plan's number in the settings. */
    public int plan;
    /** The customer's key. */
    public long customer;
    /** What the RPC draws from the quota, in units; above 0. */
    public double units;
    /** How many gateways the customer's RPCs may come in at. */
    public int gateways;
    /** The number of the first of them. */
    public int firstGateway;
    /** How long the client waits, in milliseconds; 0 or more. */
    public long timeLeftMs;

    /**
     * A head for the methods and plans of some settings.
     *
     * @param methodNames the names that X-Qos may hold, in the order of the settings
     * @param planNames the names that Plan may hold, in the order of the settings
     * @param methods the methods, in the same order as their names
     * @param gateways how many gateways there are
     * @param maxUnits the most units that an RPC may draw; 0 if the settings name no bound
     */
    public RequestHead(
            List<String> methodNames, List<String> planNames, List<Method> methods, int gateways, double maxUnits) {
        this.methods = methods;
        this.maxGateways = gateways;
        this.maxUnits = maxUnits > 0 ? maxUnits : DEFAULT_MAX_UNITS;
        this.methodNames = methodNames.stream().map(Ascii::ascii).toArray(byte[][]::new);
        this.planNames = planNames.stream().map(Ascii::ascii).toArray(byte[][]::new);
    }

    /** Whether the request at the front of a ring asks for the front door's readiness. */
    public static boolean isReadinessCheck(RingBuffer ring) {
        return ring.size() > READINESS_CHECK.length && ring.matches(0, READINESS_CHECK.length, READINESS_CHECK);
    }

    /**
     * Reads the fields of an RPC.
     *
     * @param request the reader that has read the message at the front of the ring
     * @throws MalformedMessageException if the request is no RPC that can be taken; its status is the response to it
     */
    public void read(RingBuffer ring, HttpReader request) throws MalformedMessageException {
        requireRpcPath(ring, request);
        HeaderFields fields = request.fields();
        int id = require(ring, fields, TRACE_ID, "X-Trace-Id");
        int idLength = fields.valueTo(id) - fields.valueFrom(id);
        if (idLength == 0 || idLength > MAX_TRACE_ID_BYTES) {
            throw new MalformedMessageException(400, "X-Trace-Id is empty or too long");
        }
        traceId = ring.text(fields.valueFrom(id), fields.valueTo(id));
        method = choice(ring, fields, QOS, methodNames, "X-Qos");
        plan = choice(ring, fields, PLAN, planNames, "Plan");
        customer = readCustomer(ring, fields);
        int expires = require(ring, fields, EXPIRES, "X-Expires-In-Ms");
        timeLeftMs = Ascii.parseDecimal(ring, fields.valueFrom(expires), fields.valueTo(expires));
        if (timeLeftMs == Ascii.NOT_A_NUMBER || timeLeftMs > Integer.MAX_VALUE) {
            throw new MalformedMessageException(400, "X-Expires-In-Ms is malformed");
        }
        readQuotaInfo(ring, fields);
        checkVerb(ring, request);
    }

    private static void requireRpcPath(RingBuffer ring, HttpReader request) throws MalformedMessageException {
        int from = request.verbTo() + 1;
        int to = from;
        while (to < request.targetTo() && ring.at(to) != '?') {
            to++;
        }
        if (!ring.matches(from, to, RPC_PATH)) {
            throw new MalformedMessageException(404, "unknown path");
        }
    }

    /** An idempotent RPC is a GET without a body; all others are a POST, and a deduplicated one needs its key. */
    private void checkVerb(RingBuffer ring, HttpReader request) throws MalformedMessageException {
        Method.RetrySafety safety = methods.get(method).retrySafety();
        boolean isGet = safety == Method.RetrySafety.IDEMPOTENT;
        if (!ring.matches(0, request.verbTo(), isGet ? GET : POST)) {
            throw new MalformedMessageException(405, "the verb does not fit the method");
        }
        if (isGet && request.bodyTo() > request.bodyFrom()) {
            throw new MalformedMessageException(400, "a GET request with a body");
        }
        if (safety == Method.RetrySafety.DEDUPLICATED) {
            HeaderFields fields = request.fields();
            int key = require(ring, fields, IDEMPOTENCY_KEY, "Idempotency-Key");
            if (fields.valueFrom(key) == fields.valueTo(key)) {
                throw new MalformedMessageException(400, "Idempotency-Key is empty");
            }
        }
    }

    /** The one field of a name. With more than one, two readers of the message could each take another. */
    private static int require(RingBuffer ring, HeaderFields fields, byte[] lowerCaseName, String name)
            throws MalformedMessageException {
        int field = fields.find(ring, lowerCaseName);
        if (field < 0) {
            throw new MalformedMessageException(400, "no " + name);
        }
        for (int i = field + 1; i < fields.count(); i++) {
            if (fields.isNamed(ring, i, lowerCaseName)) {
                throw new MalformedMessageException(400, "more than one " + name);
            }
        }
        return field;
    }

    private static int choice(RingBuffer ring, HeaderFields fields, byte[] lowerCaseName, byte[][] choices, String name)
            throws MalformedMessageException {
        int field = require(ring, fields, lowerCaseName, name);
        for (int i = 0; i < choices.length; i++) {
            if (ring.matches(fields.valueFrom(field), fields.valueTo(field), choices[i])) {
                return i;
            }
        }
        throw new MalformedMessageException(400, "unknown " + name);
    }

    /** The cookie named key among those of the field. */
    private static long readCustomer(RingBuffer ring, HeaderFields fields) throws MalformedMessageException {
        int cookie = require(ring, fields, COOKIE, "Cookie");
        int end = fields.valueTo(cookie);
        long customer = -1;
        int from = fields.valueFrom(cookie);
        while (from < end) {
            int to = from;
            while (to < end && ring.at(to) != ';') {
                to++;
            }
            int valueFrom = from + COOKIE_KEY.length;
            if (valueFrom <= to && ring.matches(from, valueFrom, COOKIE_KEY)) {
                if (customer >= 0 || to - valueFrom != CUSTOMER_DIGITS) {
                    throw new MalformedMessageException(400, "the cookie's key is malformed, or there are two");
                }
                customer = parseCustomer(ring, valueFrom, to);
            }
            from = to + 1;
            while (from < end && ring.at(from) == ' ') {
                from++;
            }
        }
        if (customer < 0) {
            throw new MalformedMessageException(400, "no key in the cookie");
        }
        return customer;
    }

    private static long parseCustomer(RingBuffer ring, int from, int to) throws MalformedMessageException {
        long value = 0;
        for (int i = from; i < to; i++) {
            int digit = Character.digit(ring.at(i), 16);
            if (digit < 0 || (value >= CUSTOMER_LIMIT >> 4 && value * 16 + digit >= CUSTOMER_LIMIT)) {
                throw new MalformedMessageException(400, "the cookie's key is malformed");
            }
            value = value * 16 + digit;
        }
        return value;
    }

    /** units=2,spread=3,first=1 in any order, further names skipped; each is held against the settings. */
    private void readQuotaInfo(RingBuffer ring, HeaderFields fields) throws MalformedMessageException {
        int field = require(ring, fields, QUOTA_INFO, "Quota-Info");
        units = -1;
        gateways = -1;
        firstGateway = -1;
        for (String element :
                ring.text(fields.valueFrom(field), fields.valueTo(field)).split(",", -1)) {
            int equals = element.indexOf('=');
            String name = equals < 0 ? "" : element.substring(0, equals).strip();
            String value = element.substring(equals + 1).strip();
            if (name.equals("units") && units < 0) {
                units = decimal(value);
            } else if (name.equals("spread") && gateways < 0) {
                gateways = (int) whole(value);
            } else if (name.equals("first") && firstGateway < 0) {
                firstGateway = (int) whole(value);
            } else if (QUOTA_NAMES.contains(name)) {
                throw new MalformedMessageException(400, "Quota-Info has an element twice");
            }
        }
        if (!(units > 0 && units <= maxUnits)
                || gateways < 1
                || gateways > maxGateways
                || firstGateway < 0
                || firstGateway >= maxGateways) {
            throw new MalformedMessageException(400, "Quota-Info is malformed or out of range");
        }
    }

    private static long whole(String value) throws MalformedMessageException {
        if (value.isEmpty()
                || value.length() > MAX_QUOTA_DIGITS
                || !value.chars().allMatch(c -> c >= '0' && c <= '9')) {
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
}
