package hopdrum.policy.context;

import hopdrum.host.Host;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Schedules actions for later times, using a single wake-up of the host at the time of the earliest action. */
final class Timers {
    private record Timer(long atUs, long sequenceNumber, Runnable action) {}

    private final Host host;
    // Each timer is removed when it is due.
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::atUs).thenComparingLong(Timer::sequenceNumber));
    private long timersScheduled;
    private long wakeUpAtUs = Long.MAX_VALUE;

    Timers(Host host) {
        this.host = host;
    }

    /** Schedules an action; actions due at the same time run in the order in which they were scheduled. */
    void schedule(long atUs, Runnable action) {
        timers.add(new Timer(atUs, timersScheduled++, action));
    }

    /** Runs the actions that are due; returns false if an earlier wake-up has already run them. */
    boolean runDue() {
        if (host.nowUs() < wakeUpAtUs) {
            return false;
        }
        wakeUpAtUs = Long.MAX_VALUE;
        while (!timers.isEmpty() && timers.peek().atUs <= host.nowUs()) {
            timers.poll().action.run();
        }
        return true;
    }

    /** Schedules a wake-up for the earliest action, unless an earlier or equal one is already scheduled. */
    void arm() {
        if (!timers.isEmpty() && timers.peek().atUs < wakeUpAtUs) {
            wakeUpAtUs = timers.peek().atUs;
            host.scheduleWakeUp(Math.max(1, wakeUpAtUs - host.nowUs()));
        }
    }
}
