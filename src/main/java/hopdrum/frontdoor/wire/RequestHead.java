package hopdrum.frontdoor.wire;

import static hopdrum.frontdoor.wire.Ascii.ascii;

import hopdrum.host.Method;
import java.util.List;

/**
 * The properties of a client's request that its head states. One object serves all requests of an event loop, which
 * avoids an allocation for each request: the public fields are valid from one {@link #read} to the next.
 */
public final class RequestHead {
    private static final byte[] TRACE_ID = ascii("x-trace-id");
    private static final byte[] QOS = ascii("x-qos");
    private static final byte[] PLAN = ascii("plan");
    private static final byte[] COOKIE = ascii("cookie");
    private static final byte[] CUSTOMER_COOKIE_PREFIX = ascii("key=");
    private static final byte[] EXPIRES = ascii("x-expires-in-ms");
    private static final byte[] IDEMPOTENCY_KEY = ascii("idempotency-key");
    private static final byte[] QUOTA_INFO = ascii("quota-info");
    private static final byte[] GET = ascii("GET");
    private static final byte[] POST = ascii("POST");
    private static final byte[] REQUEST_PATH = ascii("/api");
    private static final byte[] READINESS_CHECK_START = ascii("GET /health/ready ");
    private static final List<String> QUOTA_ELEMENT_NAMES = List.of("units", "spread", "first");

    private static final int CUSTOMER_KEY_DIGITS = 16;
    private static final long CUSTOMER_KEY_LIMIT = 1L << 33;
    private static final double DEFAULT_MAX_UNITS = 1e6;
    private static final int MAX_TRACE_ID_BYTES = 64;
    private static final int MAX_QUOTA_DIGITS = 9;

    private final byte[][] methodNames;
    private final byte[][] planNames;
    private final List<Method> methods;
    private final int maxGateways;
    private final double maxUnits;
    /** The identifier of the request, chosen by its client. */
    public String traceId;
    /** The index of the method in the settings. */
    public int method;
    /** The index of the plan in the settings. */
    public int plan;
    /** The key of the customer; from 0 to 2^33 - 1. */
    public long customer;
    /** What the request uses of the customer's quota, in units; above 0. */
    public double units;
    /** The number of gateways that may receive the customer's requests; at least 1. */
    public int gatewayCount;
    /** The index of the first of these gateways. */
    public int firstGateway;
    /** How long the client waits for the response, in milliseconds; 0 or more. */
    public long timeLeftMs;

    /**
     * Creates a reusable head for the methods and plans of the settings.
     *
     * @param methodNames the names of methods that X-Qos may hold, in the order of the settings
     * @param planNames the names of plans that Plan may hold, in the order of the settings
     * @param methods the methods, in the same order as their names
     * @param maxGateways the number of all gateways, which bounds the spread of a customer
     * @param maxUnits the most units that a request may use; 0 for the default of 1e6
     */
    public RequestHead(
            List<String> methodNames, List<String> planNames, List<Method> methods, int maxGateways, double maxUnits) {
        this.methods = methods;
        this.maxGateways = maxGateways;
        this.maxUnits = maxUnits > 0 ? maxUnits : DEFAULT_MAX_UNITS;
        this.methodNames = methodNames.stream().map(Ascii::ascii).toArray(byte[][]::new);
        this.planNames = planNames.stream().map(Ascii::ascii).toArray(byte[][]::new);
    }

    /** Whether the request at the front of a buffer is a readiness check of the front door. */
    public static boolean isReadinessCheck(RingBuffer ring) {
        return ring.size() > READINESS_CHECK_START.length
                && ring.matches(0, READINESS_CHECK_START.length, READINESS_CHECK_START);
    }

    /**
     * Reads the path and the header fields of a request into the public fields.
     *
     * @param ring the buffer with the request at its front
     * @param request the reader that has read the request
     * @throws MalformedMessageException if the request cannot be accepted; the exception has the status of the response
     */
    public void read(RingBuffer ring, HttpReader request) throws MalformedMessageException {
        requireRequestPath(ring, request);
        HeaderFields fields = request.fields();
        int traceIdField = requireSingleField(ring, fields, TRACE_ID, "X-Trace-Id");
        int traceIdLength = fields.valueTo(traceIdField) - fields.valueFrom(traceIdField);
        if (traceIdLength == 0 || traceIdLength > MAX_TRACE_ID_BYTES) {
            throw new MalformedMessageException(400, "X-Trace-Id is empty or too long");
        }
        traceId = ring.text(fields.valueFrom(traceIdField), fields.valueTo(traceIdField));
        method = requireChoice(ring, fields, QOS, methodNames, "X-Qos");
        plan = requireChoice(ring, fields, PLAN, planNames, "Plan");
        customer = readCustomerKey(ring, fields);
        int expiresField = requireSingleField(ring, fields, EXPIRES, "X-Expires-In-Ms");
        timeLeftMs = Ascii.parseDecimal(ring, fields.valueFrom(expiresField), fields.valueTo(expiresField));
        if (timeLeftMs == Ascii.NOT_A_NUMBER || timeLeftMs > Integer.MAX_VALUE) {
            throw new MalformedMessageException(400, "X-Expires-In-Ms is malformed");
        }
        readQuotaInfo(ring, fields);
        checkHttpMethod(ring, request);
    }

    private static void requireRequestPath(RingBuffer ring, HttpReader request) throws MalformedMessageException {
        int from = request.httpMethodTo() + 1;
        int to = from;
        while (to < request.targetTo() && ring.at(to) != '?') {
            to++;
        }
        if (!ring.matches(from, to, REQUEST_PATH)) {
            throw new MalformedMessageException(404, "unknown path");
        }
    }

    /**
     * Checks the HTTP method: an idempotent request is a GET without a body, any other request is a POST. Also checks
     * that a deduplicated request has an idempotency key.
     */
    private void checkHttpMethod(RingBuffer ring, HttpReader request) throws MalformedMessageException {
        Method.RetrySafety safety = methods.get(method).retrySafety();
        boolean isGet = safety == Method.RetrySafety.IDEMPOTENT;
        if (!ring.matches(0, request.httpMethodTo(), isGet ? GET : POST)) {
            throw new MalformedMessageException(405, "the HTTP method does not fit the method in X-Qos");
        }
        if (isGet && request.bodyTo() > request.bodyFrom()) {
            throw new MalformedMessageException(400, "a GET request has a body");
        }
        if (safety == Method.RetrySafety.DEDUPLICATED) {
            HeaderFields fields = request.fields();
            int key = requireSingleField(ring, fields, IDEMPOTENCY_KEY, "Idempotency-Key");
            if (fields.valueFrom(key) == fields.valueTo(key)) {
                throw new MalformedMessageException(400, "Idempotency-Key is empty");
            }
        }
    }

    /**
     * Returns the number of the only field with a name. A repeated field is rejected, because two readers of the
     * request could each use a different value.
     */
    private static int requireSingleField(RingBuffer ring, HeaderFields fields, byte[] lowerCaseName, String name)
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

    private static int requireChoice(
            RingBuffer ring, HeaderFields fields, byte[] lowerCaseName, byte[][] choices, String name)
            throws MalformedMessageException {
        int field = requireSingleField(ring, fields, lowerCaseName, name);
        for (int i = 0; i < choices.length; i++) {
            if (ring.matches(fields.valueFrom(field), fields.valueTo(field), choices[i])) {
                return i;
            }
        }
        throw new MalformedMessageException(400, "unknown " + name);
    }

    /** Reads the customer's key from the cookie named key. */
    private static long readCustomerKey(RingBuffer ring, HeaderFields fields) throws MalformedMessageException {
        int cookieField = requireSingleField(ring, fields, COOKIE, "Cookie");
        int end = fields.valueTo(cookieField);
        long customer = -1;
        int from = fields.valueFrom(cookieField);
        while (from < end) {
            int to = from;
            while (to < end && ring.at(to) != ';') {
                to++;
            }
            int valueFrom = from + CUSTOMER_COOKIE_PREFIX.length;
            if (valueFrom <= to && ring.matches(from, valueFrom, CUSTOMER_COOKIE_PREFIX)) {
                if (customer >= 0 || to - valueFrom != CUSTOMER_KEY_DIGITS) {
                    throw new MalformedMessageException(400, "the cookie named key is malformed or repeated");
                }
                customer = parseCustomerKey(ring, valueFrom, to);
            }
            from = to + 1;
            while (from < end && ring.at(from) == ' ') {
                from++;
            }
        }
        if (customer < 0) {
            throw new MalformedMessageException(400, "Cookie holds no cookie named key");
        }
        return customer;
    }

    private static long parseCustomerKey(RingBuffer ring, int from, int to) throws MalformedMessageException {
        long value = 0;
        for (int i = from; i < to; i++) {
            int digit = Character.digit(ring.at(i), 16);
            if (digit < 0 || (value >= CUSTOMER_KEY_LIMIT >> 4 && value * 16 + digit >= CUSTOMER_KEY_LIMIT)) {
                throw new MalformedMessageException(400, "the cookie named key is malformed");
            }
            value = value * 16 + digit;
        }
        return value;
    }

    /** Reads Quota-Info, such as units=2,spread=3,first=1 in any order, and checks its ranges; ignores other names. */
    private void readQuotaInfo(RingBuffer ring, HeaderFields fields) throws MalformedMessageException {
        int field = requireSingleField(ring, fields, QUOTA_INFO, "Quota-Info");
        units = -1;
        gatewayCount = -1;
        firstGateway = -1;
        for (String element :
                ring.text(fields.valueFrom(field), fields.valueTo(field)).split(",", -1)) {
            int equals = element.indexOf('=');
            String name = equals < 0 ? "" : element.substring(0, equals).strip();
            String value = element.substring(equals + 1).strip();
            if (name.equals("units") && units < 0) {
                units = parseDecimal(value);
            } else if (name.equals("spread") && gatewayCount < 0) {
                gatewayCount = (int) parseWholeNumber(value);
            } else if (name.equals("first") && firstGateway < 0) {
                firstGateway = (int) parseWholeNumber(value);
            } else if (QUOTA_ELEMENT_NAMES.contains(name)) {
                throw new MalformedMessageException(400, "Quota-Info has a repeated element");
            }
        }
        if (!(units > 0 && units <= maxUnits)
                || gatewayCount < 1
                || gatewayCount > maxGateways
                || firstGateway < 0
                || firstGateway >= maxGateways) {
            throw new MalformedMessageException(400, "Quota-Info is malformed or out of range");
        }
    }

    private static long parseWholeNumber(String value) throws MalformedMessageException {
        if (value.isEmpty()
                || value.length() > MAX_QUOTA_DIGITS
                || !value.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new MalformedMessageException(400, "Quota-Info has a malformed number");
        }
        return Long.parseLong(value);
    }

    /** Parses digits with at most one decimal point; a sign, exponent, hexadecimal digit or suffix is rejected. */
    private static double parseDecimal(String value) throws MalformedMessageException {
        int point = value.indexOf('.');
        return point < 0
                ? parseWholeNumber(value)
                : parseWholeNumber(value.substring(0, point))
                        + parseWholeNumber(value.substring(point + 1)) / Math.pow(10, value.length() - point - 1);
    }
}
