package hopdrum.benchlink;

/** A record that the wire's page does not allow. */
final class MalformedRecord extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedRecord(String message) {
        super(message);
    }
}
