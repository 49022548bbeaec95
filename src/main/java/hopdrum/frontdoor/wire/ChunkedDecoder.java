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

    private static final int MOST_LINE = 1024;
    private State state = State.SIZE;
    private long left;
    private int digits;
    private int lineLength;

    boolean ended() {
        return state == State.END;
    }

    /** Takes the next byte; true if it belongs to the body. */
    boolean data(byte b) throws MalformedMessageException {
        switch (state) {
            case SIZE -> {
                int digit = Character.digit(b, 16);
                if (digit >= 0 && digits < 8) {
                    left = left * 16 + digit;
                    digits++;
                } else if (digits > 0 && b == '\r') {
                    state = State.SIZE_LF;
                } else if (digits > 0 && (b == ';' || b == ' ' || b == '\t')) {
                    state = State.EXTENSION;
                } else {
                    throw new MalformedMessageException(400, "a chunk's size is malformed");
                }
            }
            case EXTENSION -> {
                tooLong();
                state = b == '\r' ? State.SIZE_LF : State.EXTENSION;
            }
            case SIZE_LF -> {
                lineFeed(b);
                lineLength = 0;
                digits = 0;
                state = left == 0 ? State.TRAILER : State.DATA;
            }
            case DATA -> {
                if (--left == 0) {
                    state = State.DATA_CR;
                }
                return true;
            }
            case DATA_CR -> {
                if (b != '\r') {
                    throw new MalformedMessageException(400, "a chunk is longer than its size");
                }
                state = State.DATA_LF;
            }
            case DATA_LF -> {
                lineFeed(b);
                state = State.SIZE;
            }
            case TRAILER -> {
                tooLong();
                if (b == '\r') {
                    state = State.TRAILER_LF;
                }
            }
            case TRAILER_LF -> {
                lineFeed(b);
                state = lineLength == 1 ? State.END : State.TRAILER; // the carriage return alone: the last line
                lineLength = 0;
            }
            case END -> throw new IllegalStateException("fed past the end");
        }
        return false;
    }

    private void tooLong() throws MalformedMessageException {
        if (++lineLength > MOST_LINE) {
            throw new MalformedMessageException(400, "a line among the chunks is too long");
        }
    }

    private static void lineFeed(byte b) throws MalformedMessageException {
        if (b != '\n') {
            throw new MalformedMessageException(400, "a carriage return stands alone");
        }
    }
}
