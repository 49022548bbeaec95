package hopdrum.policy.context;

import hopdrum.host.Host;
import java.util.Comparator;
import java.util.PriorityQueue;

/** The actions due later: one wake-up is asked of the host at a time, that of the earliest. */
final class Timers {
    private record Timer(long atUs, long order, Runnable action) {}

    private final Host host;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>( // emptied as they come due
            Comparator.comparingLong(Timer::atUs).thenComparingLong(Timer::order));
    private long scheduled;
    private long wakeUpAtUs = Long.MAX_VALUE;

    Timers(Host host) {
        this.host = host;
    }

    /** Actions of the same time run in the order in which they were scheduled. */
    void schedule(long atUs, Runnable action) {
        timers.add(new Timer(atUs, scheduled++, action));
    }

    /** Runs what is due; false where an earlier wake-up has done this one's work. */
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

    /** Asks for a wake-up at the earliest time, unless it has been asked for. */
    void arm() {
        if (!timers.isEmpty() && timers.peek().atUs < wakeUpAtUs) {
            wakeUpAtUs = timers.peek().atUs;
            host.scheduleWakeUp(Math.max(1, wakeUpAtUs - host.nowUs()));
        }
    }
}
