package hopdrum.policy;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.Endpoint;
import hopdrum.host.Outcome;
import hopdrum.host.ZoneLatencies;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Where RPCs go when a map tells how far zones are: zone 0 is here, zone 1 is far. */
class ZoneLatencyRoutingTest {
    private final FakeHost door = new FakeHost();

    /** Backends 1 and 2 here, 3 and 4 far. */
    private void start(long farUs) {
        door.gateways = 1;
        door.start(0);
        door.distances = new ZoneLatencies(new long[] {0, farUs});
        for (int i = 1; i <= 4; i++) {
            door.policy.endpointsUpdated(
                    0,
                    Endpoint.UpdateKind.INCREMENTAL,
                    List.of(new Endpoint(i, i <= 2 ? 0 : 1, 0, i, Endpoint.State.READY, 1, 0)));
        }
        door.pass(10_000);
    }

    private List<String> sent(int rpcs) {
        door.asked.clear();
        for (int i = 0; i < rpcs; i++) {
            door.takeInQuota();
        }
        return door.heard("attempt");
    }

    @Test
    void aFreeBackendNearIsTakenBeforeAFarOneAndAFarOneBeforeALongLine() {
        start(700_000);
        assertThat(sent(4))
                .as("two here, then a second each: still sooner than the way")
                .isNotEmpty()
                .noneMatch(c -> c.endsWith("3") || c.endsWith("4"));
        assertThat(sent(6))
                .as("the line here is longer than the way")
                .anyMatch(c -> c.endsWith("3") || c.endsWith("4"));
    }

    @Test
    void anRpcWithLittleTimeLeftStaysNearThoughTheLineIsLonger() {
        start(1_900_000);
        assertThat(sent(6)).isNotEmpty().noneMatch(c -> c.endsWith("3") || c.endsWith("4"));
    }

    @Test
    void anEjectedZoneHereLeavesTheFarOne() {
        start(100_000);
        List<Request> rpcs = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            rpcs.add(door.takeInQuota());
        }
        for (int i = 0; i < 12; i++) {
            String to = door.heard("attempt " + (i + 1) + " ").get(0);
            door.end(rpcs.get(i), 0, to.endsWith("1") || to.endsWith("2") ? Outcome.ERROR : Outcome.OK, 150_000);
        }
        assertThat(sent(2)).isNotEmpty().allMatch(c -> c.endsWith("3") || c.endsWith("4"));
    }

    @Test
    void theWayIsNoSlownessOfABackendFarAway() {
        start(400_000);
        for (int i = 0; i < 30; i++) {
            Request rpc = door.takeInQuota();
            String to = door.heard("attempt " + (i + 1) + " ").get(0);
            door.end(rpc, 0, Outcome.OK, to.endsWith("3") || to.endsWith("4") ? 450_000 : 50_000);
        }
        door.distances = null; // from here on as without a map: all four are as good
        List<String> sent = sent(4);
        assertThat(sent).anyMatch(c -> c.endsWith("3") || c.endsWith("4"));
        assertThat(sent).anyMatch(c -> c.endsWith("1") || c.endsWith("2"));
    }
}
