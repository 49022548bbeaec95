package hopdrum.rig.check;

/**
 * One execution of an RPC at a backend.
 *
 * @param rpc the RPC's trace identifier
 * @param method the RPC's method; {@code once} is the one that is not idempotent
 * @param operator whose backend ran it
 * @param site where the backend is
 * @param atUs when it began
 */
record Execution(String rpc, String method, String operator, String site, long atUs) {
    static Execution of(LogEntry entry) {
        return new Execution(
                entry.text("rpc"), entry.text("method"), entry.text("operator"), entry.text("site"), entry.atUs());
    }
}
