package hopdrum.frontdoor.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against cancelled timers that stay in memory until they would have been due, and against tasks out of order. */
class EventLoopTimerTest {
    private static final int MAX_COLLECTIONS = 50;
    private static final long FAR_OFF_US = 60_000_000;
    private static final long LONG_EVENT_NANOS = 20_000_000;

    private EventLoop loop;

    @BeforeEach
    void open() throws Exception {
        loop = new EventLoop();
    }

    @AfterEach
    void close() throws Exception {
        loop.close();
    }

    private WeakReference<EventLoop.Timer> scheduleAndCancel() {
        EventLoop.Timer timer = loop.scheduleAfter(FAR_OFF_US, () -> {});
        timer.cancel();
        return new WeakReference<>(timer);
    }

    @Test
    void aCancelledTimerIsNotKept() throws InterruptedException {
        loop.scheduleAfter(FAR_OFF_US / 2, () -> {});
        WeakReference<EventLoop.Timer> timer = scheduleAndCancel();
        for (int i = 0; i < MAX_COLLECTIONS && timer.get() != null; i++) {
            System.gc();
            Thread.sleep(10);
        }
        assertThat(timer.get()).isNull();
    }

    /** Guards against times that are stated too long since the event in which they are stated takes long. */
    @Test
    void thePresentTimeGoesOnWithinAnEvent() throws Exception {
        List<Long> differencesUs = new ArrayList<>();
        loop.scheduleAfter(1, () -> {
            long startUs = loop.nowUs();
            long untilNanos = System.nanoTime() + LONG_EVENT_NANOS;
            while (System.nanoTime() < untilNanos) {
                Thread.onSpinWait();
            }
            differencesUs.add(loop.nowUs() - startUs);
            differencesUs.add(loop.currentTimeUs() - startUs);
            loop.stop();
        });
        loop.run();
        assertThat(differencesUs.get(0)).isZero();
        assertThat(differencesUs.get(1)).isGreaterThanOrEqualTo(LONG_EVENT_NANOS / 1000);
    }

    @Test
    void tasksRunInTheOrderOfTheirTimesAndCancelledOnesDoNotRun() throws Exception {
        List<String> ran = new ArrayList<>();
        loop.scheduleAfter(2_000, loop::stop);
        loop.scheduleAfter(1_000, () -> ran.add("second"));
        loop.scheduleAfter(1_000, () -> ran.add("third"));
        EventLoop.Timer cancelled = loop.scheduleAfter(500, () -> ran.add("cancelled"));
        EventLoop.Timer cancelledByFirst = loop.scheduleAfter(1_500, () -> ran.add("cancelled by the first"));
        loop.scheduleAfter(100, () -> {
            ran.add("first");
            cancelledByFirst.cancel();
        });
        cancelled.cancel();
        loop.run();
        assertThat(ran).containsExactly("first", "second", "third");
    }
}
