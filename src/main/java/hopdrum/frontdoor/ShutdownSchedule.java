package hopdrum.frontdoor;

import hopdrum.host.Method;
import java.util.Collection;

/**
 * The times of a graceful shutdown, in microseconds of the event loop's clock. The operators kill the process no earlier
 * than the longest deadline, counted as at most 3 s, and 0.7 s after SIGTERM; what is unanswered then is lost.
 *
 * @param stopAcceptingAtUs when the listening socket and idle connections are closed
 * @param stopReadingAtUs when connections on which clients keep sending are closed after their next response
 * @param latestAnswerAtUs when the last responses have to be written
 */
record ShutdownSchedule(long stopAcceptingAtUs, long stopReadingAtUs, long latestAnswerAtUs) {
    private static final long ACCEPT_PERIOD_US = 500_000;
    private static final long MAX_DEADLINE_US = 3_000_000;
    private static final long MIN_KILL_DELAY_US = 700_000; // after the longest deadline
    private static final long ANSWER_MARGIN_US = 150_000; // the loop may be held up for that long
    private static final long STOP_READING_MARGIN_US = 200_000; // before the last responses

    /** The schedule of a shutdown that begins at a time. */
    static ShutdownSchedule startingAt(long nowUs, Collection<Method> methods) {
        long longestDeadlineUs = methods.stream()
                .mapToLong(Method::deadlineUs)
                .map(deadlineUs -> Math.min(deadlineUs, MAX_DEADLINE_US))
                .max()
                .orElse(MAX_DEADLINE_US);
        long latestAnswerAtUs = nowUs + longestDeadlineUs + MIN_KILL_DELAY_US - ANSWER_MARGIN_US;
        long stopReadingAtUs = Math.max(nowUs + ACCEPT_PERIOD_US, latestAnswerAtUs - STOP_READING_MARGIN_US);
        return new ShutdownSchedule(nowUs + ACCEPT_PERIOD_US, stopReadingAtUs, latestAnswerAtUs);
    }
}
