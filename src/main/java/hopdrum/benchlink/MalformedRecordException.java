package hopdrum.benchlink;

/** A record that the bench's protocol does not allow; the message says what is wrong with it. */
final class MalformedRecordException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedRecordException(String message) {
        super(message);
    }
}
