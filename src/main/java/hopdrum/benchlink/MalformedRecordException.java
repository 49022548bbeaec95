package hopdrum.benchlink;

/** Thrown for a record that the bench's protocol does not allow; the message says what is wrong with the record. */
final class MalformedRecordException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedRecordException(String message) {
        super(message);
    }
}
