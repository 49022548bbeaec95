package hopdrum.frontdoor.lifecycle;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Waits for sockets and timers on one thread and calls their owners. Owns the selector and the clock. All methods but
 * {@link #execute} are called on the loop's thread, or before {@link #run}.
 */
public final class EventLoop {
    /** The owner of a channel, attached to its key. */
    public interface ChannelHandler {
        /**
         * The channel is ready for an operation of interest.
         *
         * @throws IOException if the channel has failed; {@link #channelFailed} is called with it
         */
        void channelReady(SelectionKey key) throws IOException;

        /** Handling an event has thrown: the channel is to be given up. */
        void channelFailed(Exception e);
    }

    /** A time at which a task runs; a cancelled one stays in its queue until it is the next. */
    public static final class Timer implements Comparable<Timer> {
        private final long atUs;
        private final long order; // of timers for the same time
        private Runnable task; // null once cancelled

        private Timer(long atUs, long order, Runnable task) {
            this.atUs = atUs;
            this.order = order;
            this.task = task;
        }

        /** The task does not run, unless it already has. */
        public void cancel() {
            task = null;
        }

        @Override
        public int compareTo(Timer other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(order, other.order);
        }
    }

    private static final Log LOG = new Log("loop");
    private static final long IMMEDIATE_US = 50; // a selection that takes less has not waited
    private static final long MAX_WAIT_US = 1_000_000;

    private final Selector selector;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>(); // emptied as they come due
    private final Deque<Runnable> afterEvent = new ArrayDeque<>(); // emptied after each event
    private final Queue<Runnable> submitted = new ConcurrentLinkedQueue<>(); // emptied after each selection
    // Names of counters and the endpoint list's times are shared between machines: so time starts at the wall clock's,
    // and from there one monotonic clock alone moves it.
    private final long wallClockAtStartUs = System.currentTimeMillis() * 1000;
    private final long nanosAtStart = System.nanoTime();
    private long nowUs = wallClockAtStartUs;
    private long selectedUs = nowUs; // when the selector was entered, then when it last returned
    private boolean hasReturned; // the selector, since it was last entered
    private long earliestArrivalUs = nowUs;
    private long nextOrder;
    private boolean stopped;

    /**
     * A loop that does not run yet.
     *
     * @throws IOException if the system gives no selector
     */
    public EventLoop() throws IOException {
        selector = Selector.open();
    }

    /** Where channels are registered, each with its {@link ChannelHandler} attached. */
    public Selector selector() {
        return selector;
    }

    /** The time of the event being handled, in microseconds since 1970. */
    public long nowUs() {
        return nowUs;
    }

    /** How far this clock is ahead of the machine's monotonic one, in microseconds. */
    public long monotonicOffsetUs() {
        return wallClockAtStartUs - nanosAtStart / 1000;
    }

    /** Bytes that are found now have arrived no earlier than this, by the loop's clock. */
    public long earliestArrivalUs() {
        return earliestArrivalUs;
    }

    /** Runs a task at a time of the loop's clock, in microseconds; at once if it has passed. */
    public Timer scheduleAt(long atUs, Runnable task) {
        Timer timer = new Timer(atUs, nextOrder++, task);
        timers.add(timer);
        return timer;
    }

    /** Runs a task after a delay in microseconds from the present event's time. */
    public Timer scheduleAfter(long delayUs, Runnable task) {
        return scheduleAt(nowUs + delayUs, task);
    }

    /** Runs a task once the present event is handled: for what may not happen inside Policy's calls on its Host. */
    public void runAfterCurrentEvent(Runnable task) {
        afterEvent.add(task);
    }

    /** Runs a task in the loop. May be called from any thread, before the loop runs too; tasks run in order. */
    public void execute(Runnable task) {
        submitted.add(task);
        selector.wakeup();
    }

    /** Ends {@link #run} once the present round of events is handled. */
    public void stop() {
        stopped = true;
    }

    /**
     * Handles events until {@link #stop}.
     *
     * @throws IOException if the selector fails
     */
    public void run() throws IOException {
        while (!stopped) {
            removeCancelledTimers();
            select();
            for (Runnable task = submitted.poll(); task != null; task = submitted.poll()) {
                runGuarded(task);
            }
            while (!timers.isEmpty() && timers.peek().atUs <= nowUs) {
                Runnable task = timers.poll().task;
                if (task != null) {
                    runGuarded(task);
                }
            }
        }
    }

    /** Guards against waking for what was cancelled. */
    private void removeCancelledTimers() {
        while (!timers.isEmpty() && timers.peek().task == null) {
            timers.poll();
        }
    }

    private void select() throws IOException {
        long waitUs = MAX_WAIT_US;
        if (!timers.isEmpty()) {
            tick();
            waitUs = timers.peek().atUs - nowUs;
        }
        earliestArrivalUs = selectedUs;
        selectedUs = nowUs;
        hasReturned = false;
        if (!afterEvent.isEmpty() || waitUs <= 0) {
            selector.selectNow(this::ready);
        } else {
            selector.select(this::ready, (waitUs + 999) / 1000);
        }
        tick();
        selectionReturned();
    }

    /**
     * Gives the selector back.
     *
     * @throws IOException if that fails
     */
    public void close() throws IOException {
        selector.close();
    }

    private void tick() {
        nowUs = wallClockAtStartUs + (System.nanoTime() - nanosAtStart) / 1000;
    }

    private void ready(SelectionKey key) {
        tick();
        selectionReturned();
        ChannelHandler handler = (ChannelHandler) key.attachment();
        try {
            handler.channelReady(key);
        } catch (IOException | RuntimeException e) {
            runGuarded(() -> handler.channelFailed(e));
        }
        runAfterEvent();
    }

    /**
     * Guards time limits that others count against work that kept this thread away: what was ready at once arrived at any
     * time since the selector returned before; what had to be waited for arrived now.
     */
    private void selectionReturned() {
        if (!hasReturned) {
            hasReturned = true;
            if (nowUs - selectedUs > IMMEDIATE_US) {
                earliestArrivalUs = nowUs;
            }
            selectedUs = nowUs;
        }
    }

    private void runGuarded(Runnable task) {
        runLoggingFaults(task);
        runAfterEvent();
    }

    private void runAfterEvent() {
        while (!afterEvent.isEmpty()) {
            runLoggingFaults(afterEvent.poll());
        }
    }

    /** A fault in one event must not end all others. */
    private static void runLoggingFaults(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("an event's handling failed", e);
        }
    }
}
