package hopdrum.host;

/**
 * A method's settings.
 *
 * @param softDeadlineUs the latency objective: an answer within it has its whole utility
 * @param deadlineUs how long clients wait in all
 * @param retrySafety whether an attempt that may have run may be repeated
 * @param deduplicationScope the backends that drop each other's repeats, if it is deduplicated
 * @param deduplicationWindowUs how long they remember an attempt, if it is deduplicated; else 0
 * @param lateUtility what an answer after the soft deadline is worth, from 0 to 1
 * @param streaming whether answers are streams
 */
public record Method(
        long softDeadlineUs,
        long deadlineUs,
        RetrySafety retrySafety,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowUs,
        double lateUtility,
        boolean streaming) {
    /** Whether an attempt that may have run may be repeated: always, within a window, or never. */
    public enum RetrySafety {
        IDEMPOTENT,
        DEDUPLICATED,
        NON_IDEMPOTENT
    }

    /** The backends that drop each other's repeats of a deduplicated request. */
    public enum DeduplicationScope {
        ALL,
        ZONE,
        CELL
    }
}
