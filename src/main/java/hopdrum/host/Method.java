package hopdrum.host;

/** One method's row: what the module reads of it. */
public record Method(
        long softDeadlineUs,
        long deadlineUs,
        Repeat repeat,
        Group group,
        long windowUs,
        double lateUtility,
        boolean stream) {
    public enum Repeat {
        IDEMPOTENT,
        DEDUPLICATED,
        NON_IDEMPOTENT
    }

    /** The backends that drop each other's repeats of a deduplicated RPC. */
    public enum Group {
        ALL,
        ZONE,
        CELL
    }
}
