package hopdrum.frontdoor.wire;

import java.util.Arrays;

/** Where the header fields of one message stand in its ring. Fields are numbered from 0 in the order of their lines. */
final class HeaderFields {
    private static final int MAX_FIELDS = 64;
    private static final int INITIAL_FIELDS = 16;
    // Four positions a field, in one array since a message's fields are read on the path of every request.
    private static final int STRIDE = 4;
    private static final int NAME_FROM = 0;
    private static final int NAME_TO = 1;
    private static final int VALUE_FROM = 2;
    private static final int VALUE_TO = 3;

    private int[] positions = new int[STRIDE * INITIAL_FIELDS];
    private int count;

    /** Parses one line, without its line break, and adds its field. */
    void add(RingBuffer ring, int from, int to) throws MalformedMessageException {
        int colon = from;
        while (colon < to && Ascii.isToken(ring.at(colon))) {
            colon++;
        }
        if (colon == from || colon == to || ring.at(colon) != ':') {
            throw new MalformedMessageException(400, "a header field has no name");
        }
        int valueFrom = colon + 1;
        while (valueFrom < to && Ascii.isBlank(ring.at(valueFrom))) {
            valueFrom++;
        }
        int valueTo = to;
        while (valueTo > valueFrom && Ascii.isBlank(ring.at(valueTo - 1))) {
            valueTo--;
        }
        if (count == MAX_FIELDS) {
            throw new MalformedMessageException(431, "more than " + MAX_FIELDS + " fields");
        }
        int start = STRIDE * count;
        if (start == positions.length) {
            positions = Arrays.copyOf(positions, 2 * positions.length);
        }
        positions[start + NAME_FROM] = from;
        positions[start + NAME_TO] = colon;
        positions[start + VALUE_FROM] = valueFrom;
        positions[start + VALUE_TO] = valueTo;
        count++;
    }

    /** Forgets all fields, and gives back the memory that an unusually long head took. */
    void clear() {
        count = 0;
        if (positions.length > STRIDE * INITIAL_FIELDS) {
            positions = new int[STRIDE * INITIAL_FIELDS];
        }
    }

    int count() {
        return count;
    }

    int nameFrom(int field) {
        return positions[STRIDE * field + NAME_FROM];
    }

    int valueFrom(int field) {
        return positions[STRIDE * field + VALUE_FROM];
    }

    int valueTo(int field) {
        return positions[STRIDE * field + VALUE_TO];
    }

    boolean isNamed(RingBuffer ring, int field, byte[] lowerCaseName) {
        int start = STRIDE * field;
        return ring.matchesIgnoringCase(positions[start + NAME_FROM], positions[start + NAME_TO], lowerCaseName);
    }

    /** The first field of a name, or -1. */
    int find(RingBuffer ring, byte[] lowerCaseName) {
        for (int i = 0; i < count; i++) {
            if (isNamed(ring, i, lowerCaseName)) {
                return i;
            }
        }
        return -1;
    }

    /** Whether a field's value, a list with commas, holds an element; letters of either case are the same. */
    boolean hasElement(RingBuffer ring, int field, byte[] lowerCaseElement) {
        int from = valueFrom(field);
        int to = valueTo(field);
        while (from < to) {
            int comma = from;
            while (comma < to && ring.at(comma) != ',') {
                comma++;
            }
            int last = comma;
            while (from < last && Ascii.isBlank(ring.at(from))) {
                from++;
            }
            while (last > from && Ascii.isBlank(ring.at(last - 1))) {
                last--;
            }
            if (ring.matchesIgnoringCase(from, last, lowerCaseElement)) {
                return true;
            }
            from = comma + 1;
        }
        return false;
    }
}
