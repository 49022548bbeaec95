package hopdrum.frontdoor.lifecycle;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** The one thread: waits for sockets and timers and calls their owners. Owns the selector and the clock. */
public final class EventLoop {
    /** What a socket's key carries. */
    public interface Ready {
        void ready(SelectionKey key) throws IOException;

        /** Its handling threw: the socket is given up. */
        void broken(Exception e);
    }

    /** A time to call at; a cancelled one stays in its queue until it is the next. */
    public static final class Timer implements Comparable<Timer> {
        private final long atUs;
        private final long order;
        private Runnable what;

        private Timer(long atUs, long order, Runnable what) {
            this.atUs = atUs;
            this.order = order;
            this.what = what;
        }

        public void cancel() {
            what = null;
        }

        @Override
        public int compareTo(Timer other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(order, other.order);
        }
    }

    private static final Log LOG = new Log("loop");
    private static final long AT_ONCE_US = 50;
    private final Selector selector;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>(); // emptied as they come due
    private final Deque<Runnable> soon = new ArrayDeque<>(); // emptied after each call
    // Names of counts and the list's times are shared between machines: so time starts at the wall clock's, and
    // from there one monotonic clock alone moves it.
    private final long wallAtStartUs = System.currentTimeMillis() * 1000;
    private final long nanosAtStart = System.nanoTime();
    private long nowUs = wallAtStartUs;
    private long selectedUs = nowUs; // when the selector was entered, then when it last returned
    private boolean returned;
    private long unseenSinceUs = nowUs;
    private long orders;
    private final Queue<Runnable> asked =
            new ConcurrentLinkedQueue<>(); // by other threads; emptied after each selection
    private boolean stopped;

    public EventLoop() throws IOException {
        selector = Selector.open();
    }

    public Selector selector() {
        return selector;
    }

    /** The time of the event being handled. */
    public long nowUs() {
        return nowUs;
    }

    /** What this clock is ahead of the machine's monotonic one, microseconds. */
    public long offsetUs() {
        return wallAtStartUs - nanosAtStart / 1000;
    }

    /** Bytes that are found now came in no earlier than this. */
    public long unseenSinceUs() {
        return unseenSinceUs;
    }

    public Timer at(long atUs, Runnable what) {
        Timer timer = new Timer(atUs, orders++, what);
        timers.add(timer);
        return timer;
    }

    public Timer in(long delayUs, Runnable what) {
        return at(nowUs + delayUs, what);
    }

    /** Calls after the present event is handled: what may not be called from inside of Policy's calls on its Host. */
    public void soon(Runnable what) {
        soon.add(what);
    }

    /** May be called from any thread, any number of times, before the loop runs too: calls in the loop, in order. */
    public void ask(Runnable what) {
        asked.add(what);
        selector.wakeup();
    }

    public void stop() {
        stopped = true;
    }

    public void run() throws IOException {
        while (!stopped) {
            while (!timers.isEmpty() && timers.peek().what == null) {
                timers.poll(); // guards against waking for what was cancelled
            }
            long waitUs = timers.isEmpty() ? 1_000_000 : timers.peek().atUs - tick();
            unseenSinceUs = selectedUs;
            selectedUs = nowUs;
            returned = false;
            if (!soon.isEmpty() || waitUs <= 0) {
                selector.selectNow(this::ready);
            } else {
                selector.select(this::ready, (waitUs + 999) / 1000);
            }
            tick();
            hasReturned();
            for (Runnable what = asked.poll(); what != null; what = asked.poll()) {
                guarded(what);
            }
            while (!timers.isEmpty() && timers.peek().atUs <= nowUs) {
                Runnable what = timers.poll().what;
                if (what != null) {
                    guarded(what);
                }
            }
        }
    }

    public void close() throws IOException {
        selector.close();
    }

    private long tick() {
        return nowUs = wallAtStartUs + (System.nanoTime() - nanosAtStart) / 1000;
    }

    private void ready(SelectionKey key) {
        tick();
        hasReturned();
        Ready owner = (Ready) key.attachment();
        try {
            owner.ready(key);
        } catch (IOException | RuntimeException e) {
            guarded(() -> owner.broken(e));
        }
        runSoon();
    }

    /**
     * Guards time limits that others count against work that kept this thread away: what was ready at once came in
     * at any time since the selector returned before; what had to be waited for came in now.
     */
    private void hasReturned() {
        if (!returned) {
            returned = true;
            if (nowUs - selectedUs > AT_ONCE_US) {
                unseenSinceUs = nowUs;
            }
            selectedUs = nowUs;
        }
    }

    private void guarded(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException e) { // a fault in one event must not end all others
            LOG.fault("an event's handling failed", e);
        }
        runSoon();
    }

    private void runSoon() {
        while (!soon.isEmpty()) {
            Runnable what = soon.poll();
            try {
                what.run();
            } catch (RuntimeException e) { // as above
                LOG.fault("an event's handling failed", e);
            }
        }
    }
}
