package hopdrum.policy.context;

import hopdrum.host.Host;
import java.util.TreeSet;

/** Schedules actions for later times, using a single wake-up of the host at the time of the earliest action. */
final class Timers {
    private final Host host;
    // Each timer is removed when it is due or cancelled.
    private final TreeSet<Timer> timers = new TreeSet<>(Timer.EARLIEST_FIRST);
    private long timersScheduled;
    private long wakeUpAtUs = Long.MAX_VALUE;

    Timers(Host host) {
        this.host = host;
    }

    /** Schedules an action; actions due at the same time run in the order in which they were scheduled. */
    Timer schedule(long atUs, Runnable action) {
        Timer timer = new Timer(atUs, timersScheduled++, timers, action);
        timers.add(timer);
        return timer;
    }

    /** Runs the actions that are due; returns false if an earlier wake-up has already run them. */
    boolean runDue() {
        if (host.nowUs() < wakeUpAtUs) {
            return false;
        }
        wakeUpAtUs = Long.MAX_VALUE;
        while (!timers.isEmpty() && timers.first().atUs() <= host.nowUs()) {
            timers.first().run();
        }
        return true;
    }

    /** Schedules a wake-up for the earliest action, unless an earlier or equal one is already scheduled. */
    void arm() {
        if (!timers.isEmpty() && timers.first().atUs() < wakeUpAtUs) {
            wakeUpAtUs = timers.first().atUs();
            host.scheduleWakeUp(Math.max(1, wakeUpAtUs - host.nowUs()));
        }
    }
}
