package hopdrum.frontdoor.wire;

import java.util.Arrays;

/** The positions of one message's header fields in its buffer. Fields are numbered from 0 in line order. */
final class HeaderFields {
    private static final int MAX_FIELDS = 64;
    private static final int INITIAL_FIELDS = 16;
    // Each field takes four positions in one flat array, because the fields of every request are parsed and searched.
    private static final int POSITIONS_PER_FIELD = 4;
    private static final int NAME_FROM = 0;
    private static final int NAME_TO = 1;
    private static final int VALUE_FROM = 2;
    private static final int VALUE_TO = 3;

    private int[] positions = new int[POSITIONS_PER_FIELD * INITIAL_FIELDS];
    private int count;

    /**
     * Parses one line and adds its field.
     *
     * @param from where the line begins
     * @param to where the line ends, before its line break
     * @throws MalformedMessageException if the line has no valid field name, or if there are too many fields
     */
    void add(RingBuffer ring, int from, int to) throws MalformedMessageException {
        int colon = from;
        while (colon < to && Ascii.isTokenCharacter(ring.at(colon))) {
            colon++;
        }
        if (colon == from || colon == to || ring.at(colon) != ':') {
            throw new MalformedMessageException(400, "a header field has no valid name");
        }
        int valueFrom = colon + 1;
        while (valueFrom < to && Ascii.isWhitespace(ring.at(valueFrom))) {
            valueFrom++;
        }
        int valueTo = to;
        while (valueTo > valueFrom && Ascii.isWhitespace(ring.at(valueTo - 1))) {
            valueTo--;
        }
        if (count == MAX_FIELDS) {
            throw new MalformedMessageException(431, "more than " + MAX_FIELDS + " header fields");
        }
        int start = POSITIONS_PER_FIELD * count;
        if (start == positions.length) {
            positions = Arrays.copyOf(positions, 2 * positions.length);
        }
        positions[start + NAME_FROM] = from;
        positions[start + NAME_TO] = colon;
        positions[start + VALUE_FROM] = valueFrom;
        positions[start + VALUE_TO] = valueTo;
        count++;
    }

    /** Removes all fields and releases the memory that an unusually long head took. */
    void clear() {
        count = 0;
        if (positions.length > POSITIONS_PER_FIELD * INITIAL_FIELDS) {
            positions = new int[POSITIONS_PER_FIELD * INITIAL_FIELDS];
        }
    }

    int count() {
        return count;
    }

    int nameFrom(int field) {
        return positions[POSITIONS_PER_FIELD * field + NAME_FROM];
    }

    int valueFrom(int field) {
        return positions[POSITIONS_PER_FIELD * field + VALUE_FROM];
    }

    int valueTo(int field) {
        return positions[POSITIONS_PER_FIELD * field + VALUE_TO];
    }

    boolean isNamed(RingBuffer ring, int field, byte[] lowerCaseName) {
        int start = POSITIONS_PER_FIELD * field;
        return ring.matchesIgnoringCase(positions[start + NAME_FROM], positions[start + NAME_TO], lowerCaseName);
    }

    /** Returns the number of the first field with a name, or -1 if there is none. */
    int find(RingBuffer ring, byte[] lowerCaseName) {
        for (int i = 0; i < count; i++) {
            if (isNamed(ring, i, lowerCaseName)) {
                return i;
            }
        }
        return -1;
    }

    /** Whether the value of a field, a comma-separated list, contains an element; the comparison ignores case. */
    boolean hasElement(RingBuffer ring, int field, byte[] lowerCaseElement) {
        int from = valueFrom(field);
        int to = valueTo(field);
        while (from < to) {
            int comma = from;
            while (comma < to && ring.at(comma) != ',') {
                comma++;
            }
            int elementTo = comma;
            while (from < elementTo && Ascii.isWhitespace(ring.at(from))) {
                from++;
            }
            while (elementTo > from && Ascii.isWhitespace(ring.at(elementTo - 1))) {
                elementTo--;
            }
            if (ring.matchesIgnoringCase(from, elementTo, lowerCaseElement)) {
                return true;
            }
            from = comma + 1;
        }
        return false;
    }
}
