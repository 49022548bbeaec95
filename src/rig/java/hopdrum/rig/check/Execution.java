package hopdrum.rig.check;

/**
 * One execution of a request at a backend.
 *
 * @param requestId the request's trace identifier
 * @param method the request's method; {@code once} is the only method that is not idempotent
 * @param operator the operator whose backend executed it
 * @param site the site of the backend
 * @param atUs when the execution began
 */
record Execution(String requestId, String method, String operator, String site, long atUs) {
    static Execution of(LogEntry entry) {
        return new Execution(
                entry.text("rpc"), entry.text("method"), entry.text("operator"), entry.text("site"), entry.atUs());
    }
}
