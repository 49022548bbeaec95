package hopdrum.frontdoor.wire;

import java.util.List;

/** Copies the header fields of a message that are forwarded unchanged to the next hop. */
final class FieldForwarder {
    private static final int LINE_END_BYTES = 2;

    private FieldForwarder() {}

    /**
     * Copies the lines of all fields except the excluded ones. Adjacent fields are copied in one operation. The caller
     * has reserved the space.
     *
     * @param from the buffer with the message at its front
     * @param message the reader that has read the message
     * @param excludedNames the names of the fields that are not copied, in lower case
     * @param out the buffer that the field lines are appended to
     */
    static void forward(RingBuffer from, HttpReader message, List<byte[]> excludedNames, RingBuffer out) {
        HeaderFields fields = message.fields();
        int start = -1;
        for (int i = 0; i < fields.count(); i++) {
            boolean forwarded = isForwarded(from, fields, i, excludedNames);
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

    private static boolean isForwarded(RingBuffer ring, HeaderFields fields, int field, List<byte[]> excludedNames) {
        for (byte[] name : excludedNames) {
            if (fields.isNamed(ring, field, name)) {
                return false;
            }
        }
        return true;
    }

    /** The position where the line of the last field ends, before the empty line that ends the head. */
    static int fieldsTo(HttpReader message) {
        return message.bodyFrom() - LINE_END_BYTES;
    }
}
