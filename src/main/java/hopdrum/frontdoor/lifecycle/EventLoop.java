package hopdrum.frontdoor.lifecycle;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Queue;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A single-threaded event loop: waits for sockets and timers and calls their handlers. Owns the selector and the clock.
 * All methods except {@link #execute} must be called on the loop's thread, or before {@link #run}.
 */
public final class EventLoop {
    /** Handles the events of a channel; attached to the channel's selection key. */
    public interface ChannelHandler {
        /**
         * Called when the channel is ready for one of the operations that its key is interested in.
         *
         * @param key the channel's selection key
         * @throws IOException if the channel has failed; the loop passes the exception to {@link #channelFailed}
         */
        void channelReady(SelectionKey key) throws IOException;

        /** Called when {@link #channelReady} has thrown an exception; the channel is not to be used any longer. */
        void channelFailed(Exception e);
    }

    /** A task that runs at a set time. */
    public final class Timer implements Comparable<Timer> {
        private final long dueUs;
        private final long sequenceNumber; // orders timers that are due at the same time
        private final Runnable task;

        private Timer(long dueUs, long sequenceNumber, Runnable task) {
            this.dueUs = dueUs;
            this.sequenceNumber = sequenceNumber;
            this.task = task;
        }

        /** Cancels the timer; no effect if its task has already run. */
        public void cancel() {
            timers.remove(this);
        }

        @Override
        public int compareTo(Timer other) {
            return dueUs != other.dueUs
                    ? Long.compare(dueUs, other.dueUs)
                    : Long.compare(sequenceNumber, other.sequenceNumber);
        }
    }

    private static final Log LOG = new Log("loop");
    private static final long MAX_IMMEDIATE_SELECT_US = 50; // a selection that takes no longer has not waited
    private static final long MAX_TIMELY_DELAY_US = 20_000; // of a selection's end behind the time it may wait
    private static final long MAX_EVENT_DURATION_US = 50_000; // within which other clients do not notice
    private static final long MAX_SELECT_WAIT_US = 1_000_000;

    private final Selector selector;
    private final TreeSet<Timer> timers = new TreeSet<>(); // a timer is removed when it is due or cancelled
    private final Deque<Runnable> afterEventTasks = new ArrayDeque<>(); // emptied after each event
    private final Queue<Runnable> submittedTasks = new ConcurrentLinkedQueue<>(); // emptied after each selection
    // The loop's clock starts at the wall clock's time, since counter names and the times in the endpoint list are
    // shared between machines. From then on only the monotonic clock advances the loop's clock.
    private final long wallClockAtStartUs = System.currentTimeMillis() * 1000;
    private final long nanosAtStart = System.nanoTime();
    private long nowUs = wallClockAtStartUs;
    private long lastSelectUs = nowUs; // when the selection began; once selectorReturned is set, when it returned
    private long requestedWaitUs; // for which the current selection may wait; 0 if it may not
    private boolean selectorReturned; // false from the start of a selection until the selector returns
    private long earliestArrivalUs = nowUs;
    private long nextSequenceNumber;
    private boolean stopped;

    /**
     * Creates a loop that does not run yet.
     *
     * @throws IOException if no selector can be opened
     */
    public EventLoop() throws IOException {
        selector = Selector.open();
    }

    /** The selector with which channels are registered, each with its {@link ChannelHandler} attached. */
    public Selector selector() {
        return selector;
    }

    /** The time of the event that is being handled, in microseconds since the Unix epoch. */
    public long nowUs() {
        return nowUs;
    }

    /** How far the loop's clock is ahead of the machine's monotonic clock, in microseconds. */
    public long monotonicOffsetUs() {
        return wallClockAtStartUs - nanosAtStart / 1000;
    }

    /** The earliest time at which bytes that are read now can have arrived, in microseconds of the loop's clock. */
    public long earliestArrivalUs() {
        return earliestArrivalUs;
    }

    /**
     * Schedules a task for a time.
     *
     * @param dueUs the time, in microseconds of the loop's clock; if it has passed, the task runs in the next round of
     *     events
     * @param task the task to run
     * @return the timer, by which the task can be cancelled
     */
    public Timer scheduleAt(long dueUs, Runnable task) {
        Timer timer = new Timer(dueUs, nextSequenceNumber++, task);
        timers.add(timer);
        return timer;
    }

    /**
     * Schedules a task for a delay after the time of the current event.
     *
     * @param delayUs the delay, in microseconds
     * @param task the task to run
     * @return the timer, by which the task can be cancelled
     */
    public Timer scheduleAfter(long delayUs, Runnable task) {
        return scheduleAt(nowUs + delayUs, task);
    }

    /**
     * Runs a task once the current event has been handled. For work that must not happen while Policy is calling a
     * method of its Host.
     */
    public void runAfterCurrentEvent(Runnable task) {
        afterEventTasks.add(task);
    }

    /**
     * Runs a task on the loop's thread, in the order of submission. May be called from any thread, also before {@link
     * #run}.
     */
    public void execute(Runnable task) {
        submittedTasks.add(task);
        selector.wakeup();
    }

    /** Makes {@link #run} return once the current round of events has been handled. */
    public void stop() {
        stopped = true;
    }

    /**
     * Handles events until {@link #stop} is called.
     *
     * @throws IOException if the selector fails
     */
    public void run() throws IOException {
        while (!stopped) {
            select();
            for (Runnable task = submittedTasks.poll(); task != null; task = submittedTasks.poll()) {
                runWithAfterEventTasks(task);
            }
            while (!timers.isEmpty() && timers.first().dueUs <= nowUs) {
                runWithAfterEventTasks(timers.pollFirst().task);
            }
        }
    }

    private void select() throws IOException {
        long waitUs = MAX_SELECT_WAIT_US;
        if (!timers.isEmpty()) {
            updateClock();
            waitUs = timers.first().dueUs - nowUs;
        }
        boolean foundReady = selectNow();
        if (!foundReady && waitUs > 0 && afterEventTasks.isEmpty()) {
            selectWaiting(waitUs);
        }
    }

    /** Handles the channels that are ready already; returns whether there were any. */
    private boolean selectNow() throws IOException {
        earliestArrivalUs = lastSelectUs;
        lastSelectUs = nowUs;
        selectorReturned = false;
        requestedWaitUs = 0;
        int readyChannels = selector.selectNow(this::handleReadyChannel);
        updateClock();
        updateEarliestArrival();
        return readyChannels > 0;
    }

    /** Waits until a channel is ready; to be called if none was ready a moment before. */
    private void selectWaiting(long waitUs) throws IOException {
        earliestArrivalUs = lastSelectUs;
        lastSelectUs = nowUs;
        selectorReturned = false;
        requestedWaitUs = waitUs;
        selector.select(this::handleReadyChannel, (waitUs + 999) / 1000);
        updateClock();
        updateEarliestArrival();
    }

    /**
     * Closes the selector.
     *
     * @throws IOException if the selector cannot be closed
     */
    public void close() throws IOException {
        selector.close();
    }

    private void updateClock() {
        nowUs = currentTimeUs();
    }

    /**
     * The present time, in microseconds since the Unix epoch: later than {@link #nowUs} while an event takes long. For
     * times that others are told.
     */
    public long currentTimeUs() {
        return wallClockAtStartUs + (System.nanoTime() - nanosAtStart) / 1000;
    }

    private void handleReadyChannel(SelectionKey key) {
        updateClock();
        updateEarliestArrival();
        ChannelHandler handler = (ChannelHandler) key.attachment();
        try {
            handler.channelReady(key);
        } catch (IOException | RuntimeException e) {
            runLoggingExceptions(() -> handler.channelFailed(e));
        }
        runAfterEventTasks();
        checkDuration(nowUs, handler);
    }

    /** Logs that an event has kept all others waiting. */
    private void checkDuration(long startUs, Object handler) {
        long tookUs = currentTimeUs() - startUs;
        if (tookUs > MAX_EVENT_DURATION_US) {
            LOG.warning(
                    "handling an event took long",
                    tookUs / 1000 + " ms, " + handler.getClass().getName());
        }
    }

    /**
     * Updates the earliest arrival time of the bytes that the current selection reports. If the selector had to wait,
     * they have just arrived; if it returned at once, they may have arrived at any time since it last returned, and so
     * they may if it returned later than it should have, since this thread or the whole process was suspended. Time
     * limits that others count, such as a client's deadline, are taken from this time, so that work that kept this
     * thread busy does not extend them.
     */
    private void updateEarliestArrival() {
        if (!selectorReturned) {
            selectorReturned = true;
            long waitedUs = nowUs - lastSelectUs;
            boolean wasLate = waitedUs > requestedWaitUs + MAX_TIMELY_DELAY_US;
            if (requestedWaitUs > 0 && waitedUs > MAX_IMMEDIATE_SELECT_US && !wasLate) {
                earliestArrivalUs = nowUs;
            }
            lastSelectUs = nowUs;
        }
    }

    private void runWithAfterEventTasks(Runnable task) {
        long startUs = currentTimeUs();
        runLoggingExceptions(task);
        runAfterEventTasks();
        checkDuration(startUs, task);
    }

    private void runAfterEventTasks() {
        while (!afterEventTasks.isEmpty()) {
            runLoggingExceptions(afterEventTasks.poll());
        }
    }

    /** Logs an exception instead of throwing it, so that one failed task does not end the loop. */
    private static void runLoggingExceptions(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("handling an event failed", e);
        }
    }
}
