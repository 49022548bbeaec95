package hopdrum.policy;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.Method;
import hopdrum.host.Outcome;
import java.lang.ref.WeakReference;
import java.util.function.Supplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against finished requests that stay in memory until the time that their clients have stated, which is up to the
 * clients.
 */
class RequestRetentionTest {
    private static final int MAX_COLLECTIONS = 50;
    private static final long DEADLINE_US = 60_000_000;
    private static final long COUNTER_TIMEOUT_US = 100_000; // a call on the counter may keep its request for so long

    private final FakeHost host = new FakeHost();

    @BeforeEach
    void startWithALongDeadline() {
        host.method = new Method(
                2_000_000, DEADLINE_US, Method.RetrySafety.IDEMPOTENT, Method.DeduplicationScope.ALL, 0, 0.2, false);
        host.start(1);
        host.serve(5_000);
    }

    /** Forgets the request itself, so that it stays in memory only if the policy keeps it. */
    private void assertNotKept(Supplier<Request> finishedRequest) throws InterruptedException {
        WeakReference<Request> reference = new WeakReference<>(finishedRequest.get());
        host.advance(COUNTER_TIMEOUT_US);
        for (int i = 0; i < MAX_COLLECTIONS && reference.get() != null; i++) {
            System.gc();
            Thread.sleep(10);
        }
        assertThat(reference.get()).isNull();
    }

    @Test
    void aRejectedRequestIsNotKept() throws InterruptedException {
        assertNotKept(() -> host.receiveCounted(-1));
        assertThat(host.callsStartingWith("reject")).hasSize(1);
    }

    @Test
    void anAnsweredRequestIsNotKept() throws InterruptedException {
        assertNotKept(() -> {
            Request request = host.receiveWithinQuota();
            host.endAttempt(request, 0, Outcome.OK, 5_000);
            return request;
        });
        assertThat(host.callsStartingWith("attempt")).hasSize(2);
    }

    @Test
    void aRequestWhoseClientHasLeftIsNotKept() throws InterruptedException {
        assertNotKept(() -> {
            Request request = host.receiveWithinQuota();
            request.clientLeft();
            host.endAttempt(request, 0, Outcome.CANCELLED, 5_000);
            return request;
        });
        assertThat(host.callsStartingWith("cancel")).hasSize(1);
    }
}
