package hopdrum.host;

/** One method's row: what the module reads of it. */
public record Method(
        long softDeadlineUs,
        long deadlineUs,
        RetrySafety retrySafety,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowUs,
        double lateUtility,
        boolean streaming) {
    public enum RetrySafety {
        IDEMPOTENT,
        DEDUPLICATED,
        NON_IDEMPOTENT
    }

    /** The backends that drop each other's repeats of a deduplicated RPC. */
    public enum DeduplicationScope {
        ALL,
        ZONE,
        CELL
    }
}
