package hopdrum.frontdoor.wire;

import static hopdrum.frontdoor.wire.Ascii.ascii;

import java.util.List;

/** Writes a client's request to a backend or to a partner's front door. */
public final class RequestForwarder {
    private static final byte[] FORWARDED_FIELD_NAME = ascii("x-passed-on");
    private static final byte[] FORWARDED_FIELD_LINE = ascii("X-Passed-On: 1\r\n");
    private static final byte[] EXPIRES_FIELD = ascii("X-Expires-In-Ms: ");
    private static final byte[] CONTENT_LENGTH_FIELD = ascii("\r\nContent-Length: ");
    private static final byte[] HEAD_END = ascii("\r\n\r\n");
    private static final int MAX_ADDED_BYTES = 128;
    // Hop-by-hop fields, and fields that the front door writes itself.
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

    /** Whether a request is marked as forwarded by a partner's front door. */
    public static boolean isForwarded(RingBuffer ring, HttpReader request) {
        return request.fields().find(ring, FORWARDED_FIELD_NAME) >= 0;
    }

    /**
     * Writes the request as the client sent it, but without its hop-by-hop fields.
     *
     * @param from the buffer with the request at its front
     * @param request the reader that has read the request
     * @param timeLeftMs the remaining time for the request, which is stated to the receiver, in milliseconds
     * @param toPartner whether the receiver is a partner's front door; the request is then marked, so that the partner
     *     does not forward it to another front door
     * @param out the buffer that the request is appended to
     * @return false if the buffer has too little space; nothing is written then
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
            out.put(FORWARDED_FIELD_LINE);
        }
        out.put(EXPIRES_FIELD);
        Ascii.putDecimal(out, timeLeftMs);
        int length = request.bodyTo() - request.bodyFrom();
        if (length > 0 || from.at(0) != 'G') { // only a GET request may omit Content-Length
            out.put(CONTENT_LENGTH_FIELD);
            Ascii.putDecimal(out, length);
        }
        out.put(HEAD_END);
        out.put(from, request.bodyFrom(), length);
        return true;
    }
}
