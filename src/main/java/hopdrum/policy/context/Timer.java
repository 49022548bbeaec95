package hopdrum.policy.context;

import java.util.Comparator;
import java.util.SortedSet;

/** An action that is scheduled for a time. Once it has run or is cancelled, nothing refers to the action any more. */
public final class Timer {
    /** Orders timers by their time; those due at the same time in the order in which they were scheduled. */
    static final Comparator<Timer> EARLIEST_FIRST =
            Comparator.comparingLong((Timer timer) -> timer.atUs).thenComparingLong(timer -> timer.sequenceNumber);

    private final long atUs;
    private final long sequenceNumber;
    private final SortedSet<Timer> scheduled;
    private Runnable action;

    Timer(long atUs, long sequenceNumber, SortedSet<Timer> scheduled, Runnable action) {
        this.atUs = atUs;
        this.sequenceNumber = sequenceNumber;
        this.scheduled = scheduled;
        this.action = action;
    }

    /** When the action is due, in microseconds of the host's clock. */
    long atUs() {
        return atUs;
    }

    /** Cancels the action; no effect if it has already run or is running. */
    public void cancel() {
        scheduled.remove(this);
        action = null;
    }

    /** Removes the timer from those that are scheduled and runs its action. */
    void run() {
        Runnable dueAction = action;
        cancel();
        dueAction.run();
    }
}
