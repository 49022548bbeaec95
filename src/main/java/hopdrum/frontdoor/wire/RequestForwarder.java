package hopdrum.frontdoor.wire;

import static hopdrum.frontdoor.wire.Ascii.ascii;

import java.util.List;

/** Writes a client's RPC for a backend or a front door of another tier. */
public final class RequestForwarder {
    private static final byte[] FORWARDED = ascii("x-passed-on");
    private static final byte[] FORWARDED_LINE = ascii("X-Passed-On: 1\r\n");
    private static final byte[] EXPIRES_LINE = ascii("X-Expires-In-Ms: ");
    private static final byte[] LENGTH_LINE = ascii("\r\nContent-Length: ");
    private static final byte[] HEAD_END = ascii("\r\n\r\n");
    private static final int MAX_ADDED_BYTES = 128;
    // Hop-by-hop fields, and those that this program writes itself.
    private static final List<byte[]> NOT_FORWARDED = List.of(
            ascii("connection"),
            ascii("keep-alive"),
            ascii("te"),
            ascii("trailer"),
            ascii("transfer-encoding"),
            ascii("upgrade"),
            ascii("proxy-connection"),
            ascii("expect"),
            ascii("content-length"),
            ascii("x-expires-in-ms"));

    private RequestForwarder() {}

    /** Whether an RPC bears the mark of a front door of another tier that has forwarded it to here. */
    public static boolean isForwarded(RingBuffer ring, HttpReader request) {
        return request.fields().find(ring, FORWARDED) >= 0;
    }

    /**
     * Writes the RPC with all that the client sent but hop-by-hop fields.
     *
     * @param from the ring with the request at its front
     * @param timeLeftMs the time that is left for the RPC, as it is stated to the receiver
     * @param toPartner whether the receiver is a front door of another tier: the RPC is marked, so that it goes no further
     * @return false, and nothing is written, without room
     */
    public static boolean forward(
            RingBuffer from, HttpReader request, long timeLeftMs, boolean toPartner, RingBuffer out) {
        if (!out.reserve(request.bodyTo() + MAX_ADDED_BYTES)) {
            return false;
        }
        HeaderFields fields = request.fields();
        int requestLineTo = fields.count() > 0 ? fields.nameFrom(0) : FieldForwarder.fieldsTo(request);
        out.put(from, 0, requestLineTo);
        FieldForwarder.forward(from, request, NOT_FORWARDED, out);
        if (toPartner) {
            out.put(FORWARDED_LINE);
        }
        out.put(EXPIRES_LINE);
        Ascii.putDecimal(out, timeLeftMs);
        int length = request.bodyTo() - request.bodyFrom();
        if (length > 0 || from.at(0) != 'G') { // a GET alone may go without a length
            out.put(LENGTH_LINE);
            Ascii.putDecimal(out, length);
        }
        out.put(HEAD_END);
        out.put(from, request.bodyFrom(), length);
        return true;
    }
}
