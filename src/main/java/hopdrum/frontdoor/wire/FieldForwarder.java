package hopdrum.frontdoor.wire;

import java.util.List;

/** Copies the header fields of a message that go to the next hop unchanged. */
final class FieldForwarder {
    private static final int LINE_END_BYTES = 2;

    private FieldForwarder() {}

    /**
     * Copies the lines of all fields but some; fields that stand beside each other are copied in one piece. The caller
     * has reserved room.
     *
     * @param from the ring with the message at its front
     * @param notForwarded names in lower case
     */
    static void forward(RingBuffer from, HttpReader message, List<byte[]> notForwarded, RingBuffer out) {
        HeaderFields fields = message.fields();
        int start = -1;
        for (int i = 0; i < fields.count(); i++) {
            boolean forwarded = isForwarded(from, fields, i, notForwarded);
            if (forwarded && start < 0) {
                start = fields.nameFrom(i);
            } else if (!forwarded && start >= 0) {
                out.put(from, start, fields.nameFrom(i) - start);
                start = -1;
            }
        }
        if (start >= 0) {
            out.put(from, start, fieldsTo(message) - start);
        }
    }

    private static boolean isForwarded(RingBuffer ring, HeaderFields fields, int field, List<byte[]> notForwarded) {
        for (byte[] name : notForwarded) {
            if (fields.isNamed(ring, field, name)) {
                return false;
            }
        }
        return true;
    }

    /** Where the line of the last field ends, before the empty line that ends the head. */
    static int fieldsTo(HttpReader message) {
        return message.bodyFrom() - LINE_END_BYTES;
    }
}
