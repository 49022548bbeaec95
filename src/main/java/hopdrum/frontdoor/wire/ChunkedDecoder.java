package hopdrum.frontdoor.wire;

/** The framing of a chunked body, fed one byte at a time. */
final class ChunkedDecoder {
    private enum State {
        SIZE,
        EXTENSION,
        SIZE_LF,
        DATA,
        DATA_CR,
        DATA_LF,
        TRAILER,
        TRAILER_LF,
        END
    }

    private static final int MAX_LINE_BYTES = 1024;
    private static final int MAX_SIZE_DIGITS = 8;

    private State state = State.SIZE;
    private long remaining; // bytes of the chunk's data that are still to come
    private int sizeDigits;
    private int lineLength;

    /** True once the last chunk and the trailer have been read. */
    boolean isEnded() {
        return state == State.END;
    }

    /** Takes the next byte; true if it belongs to the body. */
    boolean accept(byte next) throws MalformedMessageException {
        switch (state) {
            case SIZE -> size(next);
            case EXTENSION -> {
                countLineByte();
                state = next == '\r' ? State.SIZE_LF : State.EXTENSION;
            }
            case SIZE_LF -> {
                requireLineFeed(next);
                lineLength = 0;
                sizeDigits = 0;
                state = remaining == 0 ? State.TRAILER : State.DATA;
            }
            case DATA -> {
                if (--remaining == 0) {
                    state = State.DATA_CR;
                }
                return true;
            }
            case DATA_CR -> {
                if (next != '\r') {
                    throw new MalformedMessageException(400, "a chunk is longer than its size");
                }
                state = State.DATA_LF;
            }
            case DATA_LF -> {
                requireLineFeed(next);
                state = State.SIZE;
            }
            case TRAILER -> {
                countLineByte();
                state = next == '\r' ? State.TRAILER_LF : State.TRAILER;
            }
            case TRAILER_LF -> trailerLineEnds(next);
            case END -> throw new IllegalStateException("fed past the end");
        }
        return false;
    }

    private void size(byte next) throws MalformedMessageException {
        int digit = Character.digit(next, 16);
        if (digit >= 0 && sizeDigits < MAX_SIZE_DIGITS) {
            remaining = remaining * 16 + digit;
            sizeDigits++;
        } else if (sizeDigits > 0 && next == '\r') {
            state = State.SIZE_LF;
        } else if (sizeDigits > 0 && (next == ';' || next == ' ' || next == '\t')) {
            state = State.EXTENSION;
        } else {
            throw new MalformedMessageException(400, "a chunk's size is malformed");
        }
    }

    /** An empty line, of which the carriage return alone has been counted, ends the body. */
    private void trailerLineEnds(byte next) throws MalformedMessageException {
        requireLineFeed(next);
        state = lineLength == 1 ? State.END : State.TRAILER;
        lineLength = 0;
    }

    private void countLineByte() throws MalformedMessageException {
        if (++lineLength > MAX_LINE_BYTES) {
            throw new MalformedMessageException(400, "a line among the chunks is too long");
        }
    }

    private static void requireLineFeed(byte next) throws MalformedMessageException {
        if (next != '\n') {
            throw new MalformedMessageException(400, "a carriage return stands alone");
        }
    }
}
