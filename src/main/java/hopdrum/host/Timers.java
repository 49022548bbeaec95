package hopdrum.host;

import java.util.Comparator;
import java.util.PriorityQueue;

/** What the module has to do later: one wake-up is asked of the front door at a time, that of the earliest. */
public final class Timers {
    private record Timer(long atUs, long order, Runnable what) {}

    private final Host host;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>( // emptied as they come due
            Comparator.comparingLong(Timer::atUs).thenComparingLong(Timer::order));
    private long orders;
    private long wakeAtUs = Long.MAX_VALUE;

    public Timers(Host host) {
        this.host = host;
    }

    /** Times that are equal come due in the order given. */
    public void at(long atUs, Runnable what) {
        timers.add(new Timer(atUs, orders++, what));
    }

    /** Runs what is due; false where an earlier wake-up has done this one's work. */
    public boolean runDue() {
        if (host.nowUs() < wakeAtUs) {
            return false;
        }
        wakeAtUs = Long.MAX_VALUE;
        while (!timers.isEmpty() && timers.peek().atUs <= host.nowUs()) {
            timers.poll().what.run();
        }
        return true;
    }

    /** Asks for the earliest time, unless it has been asked for. */
    public void arm() {
        if (!timers.isEmpty() && timers.peek().atUs < wakeAtUs) {
            wakeAtUs = timers.peek().atUs;
            host.scheduleWakeUp(Math.max(1, wakeAtUs - host.nowUs()));
        }
    }
}
