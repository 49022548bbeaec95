package hopdrum.frontdoor.wire;

/** Decodes the chunked transfer coding of a message body, one byte at a time. */
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
    private long remainingBytes; // of the data of the current chunk
    private int sizeDigits;
    private int lineBytes;

    /** Whether the last chunk and the trailer section have been read. */
    boolean isEnded() {
        return state == State.END;
    }

    /**
     * Reads the next byte.
     *
     * @return true if the byte is chunk data, false if it is framing
     * @throws MalformedMessageException if the framing is malformed or a line is too long
     */
    boolean accept(byte next) throws MalformedMessageException {
        switch (state) {
            case SIZE -> readSizeByte(next);
            case EXTENSION -> {
                countLineByte();
                state = next == '\r' ? State.SIZE_LF : State.EXTENSION;
            }
            case SIZE_LF -> {
                requireLineFeed(next);
                lineBytes = 0;
                sizeDigits = 0;
                state = remainingBytes == 0 ? State.TRAILER : State.DATA;
            }
            case DATA -> {
                if (--remainingBytes == 0) {
                    state = State.DATA_CR;
                }
                return true;
            }
            case DATA_CR -> {
                if (next != '\r') {
                    throw new MalformedMessageException(400, "the chunk data is longer than the chunk size");
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
            case TRAILER_LF -> endTrailerLine(next);
            case END -> throw new IllegalStateException("the chunked body has already ended");
        }
        return false;
    }

    private void readSizeByte(byte next) throws MalformedMessageException {
        int digit = Character.digit(next, 16);
        if (digit >= 0 && sizeDigits < MAX_SIZE_DIGITS) {
            remainingBytes = remainingBytes * 16 + digit;
            sizeDigits++;
        } else if (sizeDigits > 0 && next == '\r') {
            state = State.SIZE_LF;
        } else if (sizeDigits > 0 && (next == ';' || next == ' ' || next == '\t')) {
            state = State.EXTENSION;
        } else {
            throw new MalformedMessageException(400, "the chunk size is malformed");
        }
    }

    /** Ends the body at an empty trailer line, for which only the carriage return has been counted. */
    private void endTrailerLine(byte next) throws MalformedMessageException {
        requireLineFeed(next);
        state = lineBytes == 1 ? State.END : State.TRAILER;
        lineBytes = 0;
    }

    private void countLineByte() throws MalformedMessageException {
        if (++lineBytes > MAX_LINE_BYTES) {
            throw new MalformedMessageException(
                    400, "a chunk extension or trailer line is longer than " + MAX_LINE_BYTES + " bytes");
        }
    }

    private static void requireLineFeed(byte next) throws MalformedMessageException {
        if (next != '\n') {
            throw new MalformedMessageException(400, "a carriage return without a line feed");
        }
    }
}
