package hopdrum.policy;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.Outcome;
import org.junit.jupiter.api.Test;

/** Guards against memory that grows with the customers that requests name, which is up to the clients. */
class NewCustomersTest {
    private static final int CUSTOMERS = 300_000;
    private static final long REQUEST_INTERVAL_US = 50;
    private static final long MAX_GROWTH_BYTES = 30 << 20;

    private final FakeHost host = new FakeHost();
    private long lastId = 1_000;

    private static long usedBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    @Test
    void requestsOfEverNewCustomersDoNotFillTheMemory() {
        host.start(1);
        long usedBefore = usedBytes();
        for (int i = 0; i < CUSTOMERS; i++) {
            host.advance(REQUEST_INTERVAL_US);
            host.policy.requestReceived(++lastId, 0, 1_000 + i, 0, 1, 0, 2, 1_000); // too late to be forwarded
            host.calls.clear();
        }
        assertThat(usedBytes() - usedBefore).isLessThan(MAX_GROWTH_BYTES);
    }

    @Test
    void aCustomerWhoseRequestWaitsForTheCounterIsNotForgotten() {
        host.start(1);
        host.policy.requestReceived(++lastId, 0, 77, 0, 1, 0, 2, 7_500_000);
        long counterName = host.lastCounterName();
        for (int i = 0; i < CUSTOMERS / 10; i++) {
            host.policy.requestReceived(++lastId, 0, 1_000 + i, 0, 1, 0, 2, 1_000);
        }
        host.policy.counterAnswered(counterName, Outcome.OK, 1, 1_000);
        assertThat(host.callsStartingWith("attempt")).hasSize(1);
    }
}
