package hopdrum.frontdoor;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import hopdrum.frontdoor.lifecycle.Config;
import hopdrum.frontdoor.server.ConfigReload;
import hopdrum.frontdoor.server.Warmup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sun.misc.Signal;

/**
 * The configuration: parsed at the start, and reloaded on SIGHUP. After a reload the front door must use the new
 * addresses of discovery and the counter, and keep the endpoint list until a new one has arrived.
 */
@Timeout(20)
class ConfigurationReloadTest extends FrontDoorFixture {
    @Test
    void theFaultOfAnInvalidConfigurationIsReportedInOneLine() throws IOException {
        String valid = configJson(hostJson("b", backend.address(), "in_service"));
        Config config = Config.parse(valid);
        assertThat(config.methods()).containsExactly("checkout", "order");
        assertThat(config.settings().methods().get(1).deadlineUs()).isEqualTo(4_000_000);
        assertThat(config.listen())
                .isEqualTo(new InetSocketAddress(InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), 0));
        Warmup.run(config);
        for (String[] invalid : new String[][] {
            {"\"listen\"", "\"x\"", "listen"},
            {"127.0.0.1:0", "localhost:0", "no address"},
            {"AttemptsCap", "Attempts", "Bounds.AttemptsCap"},
            {"\"dedup\"", "\"twice\"", "Effect"},
            {"{\"name\"", "\"name\"", "JSON"}
        }) {
            assertThatThrownBy(() -> Config.parse(valid.replace(invalid[0], invalid[1])))
                    .isInstanceOf(IllegalArgumentException.class)
                    .hasMessageContaining(invalid[2])
                    .message()
                    .doesNotContain("\n");
        }
    }

    @Test
    void aFrontDoorServesWithoutZonesPeersCounterAndLimitsInItsSettings() throws Exception {
        settings = """
                {"Lanes":[{"Name":"order","AimUs":300000,"GiveUpUs":600000,"Effect":"fragile"}],
                 "Packages":[{"Name":"team"}],"NInstances":1,"Ordinal":0,"TickUs":1000,
                 "Bounds":{"AttemptsCap":2},"Rules":{"ColdFrom":0.2,"WarmAfterUs":1000000,"OverloadFactor":2,"FallUs":1000000}}""";
        assertThat(Config.parse(configJson(hostJson("b", backend.address(), "in_service")))
                        .zones())
                .isEmpty();
        start();
        assertThat(exchange(request("t1", "order", "").replace("Ms: 4000", "Ms: 600")))
                .endsWith("for t1");
        assertThat(counter.requests).isEmpty();
    }

    @Test
    void onSighupTheNewDiscoveryAndCounterAreUsedAndTheOldListIsKeptUntilTheNewOneArrives() throws Exception {
        StandIn newDiscovery = new StandIn(request -> NO_RESPONSE);
        StandIn newCounter = new StandIn(request -> okResponse("1"));
        start();
        assertThat(exchange(request("t1", "order", ""))).endsWith("for t1");
        String newConfig = configJson(hostJson("b", backend.address(), "in_service"))
                .replace(counter.address(), newCounter.address())
                .replace(discovery.address(), newDiscovery.address());
        Path file = Files.createTempFile("hopdrum", ".json");
        resources.add(() -> Files.delete(file));
        ConfigReload reload = new ConfigReload(file, loop, file.toFile().lastModified());
        loop.execute(() -> reload.attach(frontDoor));
        Files.writeString(file, "{\"half");
        Signal.raise(new Signal("HUP"));
        Files.writeString(file, newConfig);
        Signal.raise(new Signal("HUP"));
        assertThat(newDiscovery.nextRequest() + newDiscovery.nextRequest())
                .as("the new discovery is watched and its complete list is fetched")
                .contains("watch=1 ")
                .contains("GET /registry/instances HTTP");
        counter.requests.clear();
        assertThat(exchange(request("t2", "order", "")))
                .as("forwarded by the old list")
                .endsWith("for t2");
        assertThat(newCounter.nextRequest()).contains("delta=1&");
        assertThat(counter.requests).isEmpty();
        assertThat(counter.closedConnections.poll(10, TimeUnit.SECONDS))
                .as("the old counter connection closes once no call is pending")
                .isNotNull();
        StandIn newBackend = new StandIn(request -> okResponse("second"));
        String list =
                "{\"seq\":3,\"whole\":true,\"hosts\":[" + hostJson("c", newBackend.address(), "in_service") + "]}\n";
        newDiscovery.send("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
        assertThat(discovery.closedConnections.poll(10, TimeUnit.SECONDS))
                .as("the old watch closes when the new list arrives")
                .isEqualTo(1);
        assertThat(exchange(request("t3", "order", ""))).endsWith("second");
    }

    @Test
    void onSighupTheNewListIsAppliedThoughTheOldDiscoveryIsDown() throws Exception {
        StandIn newBackend = new StandIn(request -> okResponse("c"));
        StandIn newDiscovery = new StandIn(request -> NO_RESPONSE);
        String list =
                "{\"seq\":1,\"whole\":true,\"hosts\":[" + hostJson("c", newBackend.address(), "in_service") + "]}\n";
        newDiscovery.responder = request -> request.contains("watch=1") ? WATCH_HEAD + chunk(list) : okResponse(list);
        start();
        assertThat(discovery.nextRequest()).contains("watch=1");
        assertThat(exchange(withCustomer(1, request("t1", "order", "")))).endsWith("for t1");
        Config reloaded = Config.parse(configJson(hostJson("b", backend.address(), "in_service"))
                .replace(discovery.address(), newDiscovery.address()));
        shutDown(discovery);
        loop.execute(() -> frontDoor.reload(reloaded));
        assertThat(secondsUntilRequested(newBackend))
                .as("4 s after SIGHUP the change counts as notified")
                .isLessThan(3);
    }

    @Test
    void aConfigurationReplacedDuringTheStartIsReloadedWithoutSighupOnceDiscoveryIsLost() throws Exception {
        String list = "{\"seq\":3,\"whole\":true,\"hosts\":[" + hostJson("b", backend.address(), "in_service") + "]}\n";
        StandIn newDiscovery = new StandIn(request -> request.contains("watch=1")
                ? WATCH_HEAD + chunk(list)
                : "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
        discovery.close(); // refuses all connections from the start
        Path file = Files.createTempFile("hopdrum", ".json");
        resources.add(() -> Files.delete(file));
        Files.writeString(
                file,
                configJson(hostJson("b", backend.address(), "in_service"))
                        .replace(discovery.address(), newDiscovery.address()));
        start(hostJson("gone", "127.0.0.1:9", "in_service"));
        ConfigReload reload = new ConfigReload(file, loop, 0);
        loop.execute(() -> reload.attach(frontDoor));
        assertThat(newDiscovery.nextRequest()).contains("GET /registry/instances");
        assertThat(exchange(request("t1", "order", "")))
                .as("forwarded by the list of the new discovery")
                .endsWith("for t1");
        assertThat(counter.nextRequest()).isNotNull();
    }
}
