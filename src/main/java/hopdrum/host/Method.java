package hopdrum.host;

/**
 * The settings of a method.
 *
 * @param softDeadlineUs the latency objective in microseconds: an answer within it has its full utility
 * @param deadlineUs how long clients wait in total, in microseconds
 * @param retrySafety whether an attempt that may have run may be repeated
 * @param deduplicationScope the backends that detect each other's repeated attempts, if the method is deduplicated
 * @param deduplicationWindowUs how long those backends remember an attempt, in microseconds; 0 if the method is not
 *     deduplicated
 * @param lateUtility the utility of an answer after the soft deadline, from 0 to 1
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

    /** The backends that detect each other's repeated attempts of a deduplicated request. */
    public enum DeduplicationScope {
        ALL,
        ZONE,
        CELL
    }
}
