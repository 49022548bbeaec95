package hopdrum.frontdoor;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import hopdrum.frontdoor.connection.ClientConnection;
import hopdrum.frontdoor.connection.ResourceBudget;
import hopdrum.frontdoor.lifecycle.Config;
import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.frontdoor.server.ConfigReload;
import hopdrum.frontdoor.server.Warmup;
import hopdrum.host.ShardOwnership;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sun.misc.Signal;

/** The front door on loopback, among tiny stand-ins for what it speaks with. */
@Timeout(20)
class FrontDoorStoryTest extends FrontDoorFixture {
    @Test
    void anRpcIsCountedOnceSentOnAndItsAnswerComesBackUnchanged() throws Exception {
        start();
        assertThat(ask("GET /health/ready HTTP/1.1\r\n\r\n")).startsWith("HTTP/1.1 200 ");
        String body = "b".repeat(64 << 10);
        backend.answer = request -> ok(request.substring(request.indexOf("\r\n\r\n") + 4));
        assertThat(ask(rpc("t1", "checkout", "Content-Length: 65536\r\n") + body))
                .startsWith("HTTP/1.1 200 ")
                .endsWith(body);
        assertThat(counter.asked()).contains("delta=1&life_ms=60000");
        assertThat(backend.asked())
                .contains("X-Trace-Id: t1\r\n")
                .contains("Idempotency-Key: k\r\n")
                .contains("X-Expires-In-Ms: ");
    }

    @Test
    void pipelinedRpcsAreAnsweredInTheirOrderOverOneKeptConnection() throws Exception {
        start();
        Client client = new Client().send(rpc("t1", "checkout", "") + rpc("t2", "order", ""));
        assertThat(client.hears()).endsWith("for t1");
        assertThat(client.hears()).endsWith("for t2");
        rest();
        assertThat(client.send(rpc("t3", "order", "")).hears()).endsWith("for t3");
        client.socket.close();
        int connections = 0;
        for (int talked = 0; talked < 3; connections++) {
            talked += backend.ends.poll(10, TimeUnit.SECONDS); // closed before the backend's own idle limit
        }
        assertThat(connections).as("one is used again").isLessThan(3);
    }

    @Test
    void aCustomerBeyondItsQuotaIsRefusedWithATimeAndNothingIsSent() throws Exception {
        start();
        for (int other = 10; other < 20; other++) { // the first calls of all take longer than the counter's time-out
            ask(rpc("o" + other, "order", "").replace("0007", "00" + other));
        }
        List<String> others =
                counter.requests.stream().map(call -> call.split("[?]")[0]).toList();
        backend.requests.clear();
        counter.answer = request -> ok("99");
        assertThat(ask(rpc("t1", "order", ""))).startsWith("HTTP/1.1 429 ").contains("Retry-After: 0.");
        assertThat(askedBut(others)).contains("delta=1&");
        assertThat(askedBut(others)).contains("delta=-1&");
        assertThat(backend.requests).isEmpty();
    }

    @Test
    void aSilentCounterIsNotWaitedForAndItsConnectionIsReplaced() throws Exception {
        counter.answer = request -> HANGS;
        start();
        assertThat(ask(rpc("t1", "checkout", ""))).endsWith("for t1");
        assertThat(counter.ends.poll(10, TimeUnit.SECONDS)).as("given up").isNotNull();
        counter.requests.clear();
        counter.answer = request -> ok("1");
        while (counter.requests.isEmpty()) {
            assertThat(ask(rpc("t2", "checkout", ""))).startsWith("HTTP/1.1 ");
        }
        assertThat(counter.sockets).as("a new one").hasSizeGreaterThan(1);
    }

    @Test
    void messagesCountOnlyFromTheAddressesOfPeers() throws Exception {
        loop = new EventLoop();
        BlockingQueue<String> heard = new LinkedBlockingQueue<>();
        try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                DatagramSocket stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            List<InetSocketAddress> addresses = List.of((InetSocketAddress) peer.getLocalSocketAddress());
            PeerMessenger peers = new PeerMessenger(
                    loop,
                    new InetSocketAddress("127.0.0.1", 0),
                    addresses,
                    message -> heard.add(new String(message, StandardCharsets.ISO_8859_1)));
            thread(loop::run);
            peers.tell(0, new byte[257]); // too long, and to a number that nobody has: neither is sent
            peers.tell(1, new byte[1]);
            peers.tell(0, new byte[] {42});
            DatagramPacket got = new DatagramPacket(new byte[300], 300);
            peer.receive(got);
            assertThat(got.getLength()).isEqualTo(1);
            stranger.send(new DatagramPacket("no".getBytes(UTF_8), 2, got.getSocketAddress()));
            peer.send(new DatagramPacket(new byte[257], 257, got.getSocketAddress()));
            peer.send(new DatagramPacket("yes".getBytes(UTF_8), 3, got.getSocketAddress()));
            assertThat(heard.poll(10, TimeUnit.SECONDS)).isEqualTo("yes");
            peers.close();
            loop.execute(loop::stop);
        }
    }

    @Test
    void whatNeverRanIsRefusedAndWhatMayHaveRunIsAborted() throws Exception {
        start();
        backend.answer = request -> "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";
        assertThat(ask(rpc("t1", "order", ""))).startsWith("HTTP/1.1 503 ");
        backend.answer = request -> null;
        assertThat(ask(rpc("t2", "order", ""))).as("broken after the last byte").startsWith("HTTP/1.1 500 ");
        assertThat(backend.asked()).contains("t1");
        assertThat(backend.asked()).contains("t2");
        assertThat(backend.requests).as("nothing is sent again").isEmpty();
    }

    @Test
    void aBackendThatRefusesConnectionsNeverRanIt() throws Exception {
        String address = backend.address();
        backend.close();
        start(host("b", address, "in_service"));
        assertThat(ask(rpc("t1", "order", ""))).startsWith("HTTP/1.1 503 ");
    }

    @Test
    void aConnectionThatNeverComesUpNeverRanIt() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket first = new Socket(full.getInetAddress(), full.getLocalPort());
                Socket second = new Socket(full.getInetAddress(), full.getLocalPort())) {
            assertThat(first.isConnected() && second.isConnected())
                    .as("nobody accepts, and the queue is full")
                    .isTrue();
            start(host("b", "127.0.0.1:" + full.getLocalPort(), "in_service"));
            assertThat(ask(rpc("t1", "order", ""))).startsWith("HTTP/1.1 503 ");
        }
    }

    @Test
    void aSlowSenderIsCutOff() throws Exception {
        loop = new EventLoop();
        ClientListener clients = new ClientListener(
                loop,
                new InetSocketAddress("127.0.0.1", 0),
                new ResourceBudget(1024, 1 << 20, 50_000),
                new ClientListener.Owner() {
                    @Override
                    public void take(ClientConnection client) {
                        throw new AssertionError("nothing came whole");
                    }

                    @Override
                    public void left(ClientConnection client) {
                        throw new AssertionError("nothing was taken");
                    }

                    @Override
                    public boolean isReady() {
                        return true;
                    }
                });
        clients.open();
        thread(loop::run);
        try (Socket slow = new Socket()) {
            slow.connect(clients.address());
            slow.setSoTimeout(10_000);
            slow.getOutputStream().write("GET /health".getBytes(StandardCharsets.ISO_8859_1));
            assertThat(message(slow.getInputStream())).startsWith("HTTP/1.1 408 ");
            assertThat(slow.getInputStream().read()).isEqualTo(-1);
        }
        loop.execute(loop::stop);
    }

    @Test
    void anAnswerCutShortIsNotPassedOn() throws Exception {
        start();
        backend.answer = request -> {
            thread(() -> {
                backend.say("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
                backend.sockets.get(0).shutdownOutput();
            });
            return HANGS;
        };
        assertThat(ask(rpc("t1", "order", ""))).startsWith("HTTP/1.1 500 ");
    }

    @Test
    void spoiltAnswersAreAbortedAtOnceAndGoodOnesStandWhateverComesWithThem() throws Exception {
        start();
        for (String spoilt : new String[] {
            "\u0001\u0002",
            "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nab",
            "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
            "HTTP/1.1 200 OK\r\n\r\nuntil when",
            "HTTP/1.1 2"
        }) {
            backend.answer = request -> spoilt;
            long fromNanos = System.nanoTime();
            assertThat(ask(rpc("t1", "order", ""))).as(spoilt).startsWith("HTTP/1.1 500 ");
            assertThat(System.nanoTime() - fromNanos)
                    .as("well before its time runs out")
                    .isLessThan(1_000_000_000L);
        }
        for (String field :
                new String[] {"Endpoint-Load-Metrics: TEXT inflight=1, what=2", "Endpoint-Load-Metrics: \u00ff=="}) {
            backend.answer = request ->
                    "HTTP/1.1 102 Wait\r\n\r\n" + ok("good").replace("\r\n\r\n", "\r\n" + field + "\r\n\r\n") + "noise";
            assertThat(ask(rpc("t2", "order", ""))).startsWith("HTTP/1.1 200 ").endsWith("good");
        }
    }

    @Test
    void bytesThatComeBehindAnAnswerAreNeverTakenForTheNextOne() throws Exception {
        start();
        Client client = new Client();
        assertThat(client.send(rpc("t", "order", "")).hears()).endsWith("for t");
        rest();
        counter.answer = request -> {
            CompletableFuture<Void> held = new CompletableFuture<>();
            CompletableFuture<Void> go = new CompletableFuture<>();
            loop.execute(() -> {
                held.complete(null);
                go.join();
            });
            held.join();
            try { // the loop finds both at once, and first what makes it write the next attempt
                counter.say(ok("1"));
                backend.say(ok("for another"));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } finally {
                go.complete(null);
            }
            counter.answer = more -> ok("1");
            return HANGS;
        };
        assertThat(client.send(rpc("t2", "order", "")).hears()).endsWith("for t2");
    }

    @Test
    void aSpoiltAnswerOfTheCounterEndsItsCallAndThoseBehindIt() throws Exception {
        loop = new EventLoop();
        BlockingQueue<String> ends = new LinkedBlockingQueue<>();
        CounterClient calls = new CounterClient(
                loop,
                new InetSocketAddress("127.0.0.1", counter.listener.getLocalPort()),
                5_000_000,
                new ResourceBudget(1024, 1 << 20, 50_000),
                (name, outcome, total, tookUs) -> ends.add(outcome + " " + total));
        thread(loop::run);
        for (String spoilt :
                new String[] {ok("no number"), "HTTP/1.1 2", "HTTP/1.1 418 Other\r\nContent-Length: 0\r\n\r\n"}) {
            CompletableFuture<Void> both = new CompletableFuture<>();
            counter.answer = request -> {
                both.join();
                return spoilt;
            };
            loop.execute(() -> calls.add(1, 1, 1000));
            loop.execute(() -> calls.add(1, 1, 1000));
            assertThat(counter.asked()).isNotNull();
            both.complete(null);
            assertThat(ends.poll(10, TimeUnit.SECONDS)).isEqualTo("UNREADABLE 0.0");
            assertThat(ends.poll(10, TimeUnit.SECONDS)).isEqualTo("RESET 0.0");
            counter.answer = request -> ok("7");
            loop.execute(() -> calls.add(1, 1, 1000));
            assertThat(ends.poll(10, TimeUnit.SECONDS))
                    .as("on a connection of its own")
                    .isEqualTo("OK 7.0");
            counter.requests.clear();
        }
        loop.execute(loop::stop);
    }

    @Test
    void aConnectionToTheCounterThatFallsSilentAloneIsReplacedWithItsFirstTimeOut() throws Exception {
        loop = new EventLoop();
        BlockingQueue<String> ends = new LinkedBlockingQueue<>();
        CounterClient calls = new CounterClient(
                loop,
                new InetSocketAddress("127.0.0.1", counter.listener.getLocalPort()),
                50_000,
                new ResourceBudget(1024, 1 << 20, 50_000),
                (name, outcome, total, tookUs) -> ends.add(name + " " + outcome));
        thread(loop::run);
        counter.answer = request -> request.contains("/1?") ? HANGS : ok("1");
        loop.execute(() -> calls.add(1, 1, 1000));
        loop.execute(() -> loop.in(10_000, () -> calls.add(2, 1, 1000))); // on the other connection
        assertThat(ends.poll(10, TimeUnit.SECONDS)).isEqualTo("2 OK");
        assertThat(ends.poll(10, TimeUnit.SECONDS))
                .as("no time-out of the counter's")
                .isEqualTo("1 RESET");
        assertThat(counter.ends.poll(10, TimeUnit.SECONDS)).isEqualTo(1);
        loop.execute(loop::stop);
    }

    @Test
    void anAnswerLongerThanAnyRpcComesBackWhole() throws Exception {
        String body = "0123456789abcdef".repeat(40_000);
        backend.answer = request -> ok(body);
        start();
        Client client = new Client().send(rpc("t1", "order", ""));
        assertThat(client.hears().endsWith(body)).isTrue();
        backend.answer = request -> ok("short");
        assertThat(client.send(rpc("t2", "order", "")).hears()).endsWith("short");
    }

    @Test
    void aClientThatLeavesTakesItsAttemptAlong() throws Exception {
        backend.answer = request -> HANGS;
        start();
        Client client = new Client().send(rpc("t1", "order", ""));
        assertThat(backend.asked()).contains("t1");
        client.socket.close();
        assertThat(backend.ends.poll(10, TimeUnit.SECONDS))
                .as("the backend sees its connection end")
                .isEqualTo(1);
    }

    @Test
    void badInputIsAnsweredOnceAndTheConnectionCloses() throws Exception {
        start();
        for (String[] bad : new String[][] {
            {"nonsense\r\n\r\n", "400"},
            {"GET /nowhere HTTP/1.1\r\n\r\n", "404"},
            {rpc("t", "nothing", ""), "400"},
            {rpc("t", "checkout", "").replace("Idempotency-Key", "X"), "400"},
            {"GET /api HTTP/1.1\r\nX: " + "x".repeat(9000), "431"},
            {rpc("t", "order", "Content-Length: 70000\r\n"), "413"}
        }) {
            Client client = new Client().send(bad[0]);
            assertThat(client.hears()).startsWith("HTTP/1.1 " + bad[1]).contains("Connection: close");
            assertThat(client.hears()).isNull();
        }
        assertThat(backend.requests).isEmpty();
    }

    @Test
    void aTraceIdThatIsOpenHereIsNotTakenOver() throws Exception {
        backend.answer = request -> HANGS;
        start();
        Client first = new Client().send(rpc("t1", "order", ""));
        assertThat(backend.asked()).contains("t1");
        assertThat(ask(rpc("t1", "order", ""))).startsWith("HTTP/1.1 409 ");
        backend.say(ok("for the first"));
        assertThat(first.hears()).endsWith("for the first");
        backend.answer = request -> ok("again");
        assertThat(ask(rpc("t1", "order", ""))).as("no more open").endsWith("again");
    }

    @Test
    void whoSaysNothingMakesRoomForThoseWhoAskAndIsClosedInTime() throws Exception {
        sockets = 32 + 9; // six of them for clients
        start();
        List<Client> silent = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            silent.add(new Client());
        }
        assertThat(ask(rpc("t1", "order", ""))).endsWith("for t1");
        long fromNanos = System.nanoTime();
        for (Client client : silent) {
            assertThat(client.hears()).isNull();
        }
        assertThat(System.nanoTime() - fromNanos).isLessThan(3_000_000_000L);
    }

    @Test
    void aSenderAtFullSpeedIsTurnedDownAndCutOff() throws Exception {
        start();
        Client flood = new Client().send(rpc("t", "order", "Content-Length: 60000000\r\n"));
        assertThatThrownBy(() -> {
                    for (int i = 0; i < 1000; i++) {
                        flood.send("x".repeat(60_000));
                    }
                })
                .isInstanceOf(IOException.class);
    }

    @Test
    void aSenderThatWaitsForLeaveGetsIt() throws Exception {
        start();
        Client client = new Client().send(rpc("t1", "order", "Expect: 100-continue\r\nContent-Length: 2\r\n"));
        assertThat(client.hears()).startsWith("HTTP/1.1 100 ");
        assertThat(client.send("ab").hears()).endsWith("for t1");
    }

    @Test
    void aBackendThatDrainsGetsNothingNewAndALineThatIsBrokenFetchesTheList() throws Exception {
        StandIn second = new StandIn(request -> ok("second"));
        start();
        assertThat(discovery.asked()).contains("watch=1&after=41");
        ask("GET /health/ready HTTP/1.1\r\n\r\n"); // answered once discovery's first word is written
        String broken = "{\"seq\":42,\n";
        String whole = "{\"seq\":43,\"whole\":true,\"hosts\":[" + host("b", backend.address(), "terminating") + ","
                + host("c", second.address(), "in_service") + "]}";
        discovery.answer = request -> ok(whole);
        discovery.say(chunk(broken));
        assertThat(discovery.asked()).startsWith("GET /registry/instances HTTP/1.1");
        while (!ask(rpc("t1", "checkout", "")).endsWith("second")) {
            assertThat(second.requests).isEmpty(); // the list is still on its way
        }
        assertThat(ask(rpc("t2", "checkout", ""))).endsWith("second");
    }

    @Test
    void whoComesBeforeDiscoveryHasSpokenWaitsForItSinceTheKnownListMayBeOld() throws Exception {
        StandIn second = new StandIn(request -> ok("second"));
        CompletableFuture<Void> spoken = new CompletableFuture<>();
        String list = "{\"seq\":43,\"whole\":false,\"hosts\":[" + host("b", backend.address(), "terminating") + ","
                + host("c", second.address(), "in_service") + "]}\n";
        discovery.answer = request -> {
            spoken.join();
            return WATCH + chunk(list);
        };
        start();
        Client early = new Client().send(rpc("t1", "order", ""));
        loop.execute(() -> loop.in(50_000, () -> spoken.complete(null)));
        assertThat(early.hears()).endsWith("second");
        assertThat(backend.requests).isEmpty();
    }

    @Test
    void theTimeToWaitForDiscoveryBeginsWithTheLoopAndNotBeforeALongWarmUp() throws Exception {
        long startNanos = System.nanoTime();
        warmUp = () -> {
            while (System.nanoTime() - startNanos < 500_000_000L) {
                Warmup.run(Config.parse(config(host("b", backend.address(), "in_service"))));
            }
        };
        whoComesBeforeDiscoveryHasSpokenWaitsForItSinceTheKnownListMayBeOld();
    }

    @Test
    void whileDiscoveryIsDownTheKnownListServes() throws Exception {
        discovery.answer = request -> HANGS;
        start();
        assertThat(ask(rpc("t1", "order", ""))).endsWith("for t1");
    }

    @Test
    void aWatchThatFallsSilentIsOpenedAnewBeforeItsNewsIsDue() throws Exception {
        start();
        assertThat(discovery.asked()).contains("watch=1");
        discovery.say(chunk("\n"));
        assertThat(discovery.requests.poll(4_500, TimeUnit.MILLISECONDS)).contains("watch=1");
    }

    @Test
    void anIdleClientMakesRoomForANewOne() throws Exception {
        sockets = 32 + 9; // six of them for clients
        backend.answer = request -> HANGS;
        start();
        Client unread = new Client();
        Client taken = new Client().send(rpc("t1", "order", ""));
        assertThat(backend.asked()).contains("t1");
        Client first = new Client();
        for (int i = 0; i < 4; i++) {
            Client next = i == 0 ? first : new Client();
            assertThat(next.send("GET /health/ready HTTP/1.1\r\n\r\n").hears()).startsWith("HTTP/1.1 200 ");
        }
        assertThat(new Client().send("GET /health/ready HTTP/1.1\r\n\r\n").hears())
                .startsWith("HTTP/1.1 200 ");
        assertThat(unread.hears()).as("says nothing").isNull();
        assertThat(new Client().send("GET /health/ready HTTP/1.1\r\n\r\n").hears())
                .startsWith("HTTP/1.1 200 ");
        assertThat(first.hears()).as("idle the longest").isNull();
        assertThat(taken.socket.getInputStream().available())
                .as("still waits for its answer")
                .isZero();
    }

    @Test
    void onSigtermWhatWasTakenIsFinishedAndTheLoopEnds() throws Exception {
        start();
        CompletableFuture<Void> leave = new CompletableFuture<>();
        backend.answer = request -> {
            leave.join();
            return ok("late");
        };
        Client taken = new Client().send(rpc("t1", "order", ""));
        assertThat(backend.asked()).contains("t1");
        loop.execute(door::stop);
        String ready;
        do {
            ready = ask("GET /health/ready HTTP/1.1\r\n\r\n");
        } while (ready.startsWith("HTTP/1.1 200 "));
        assertThat(ready).as("still accepted").startsWith("HTTP/1.1 503 ").contains("Connection: close");
        leave.complete(null);
        assertThat(taken.hears()).contains("Connection: close").endsWith("late");
        running.get(10, TimeUnit.SECONDS);
    }

    @Test
    void onSighupDiscoveryAndTheCounterAreFollowedAndTheOldListStandsUntilTheNewOne() throws Exception {
        StandIn newDiscovery = new StandIn(request -> HANGS);
        StandIn newCounter = new StandIn(request -> ok("1"));
        start();
        assertThat(ask(rpc("t1", "order", ""))).endsWith("for t1");
        String moved = config(host("b", backend.address(), "in_service"))
                .replace(counter.address(), newCounter.address())
                .replace(discovery.address(), newDiscovery.address());
        Path file = Files.createTempFile("hopdrum", ".json");
        open.add(() -> Files.delete(file));
        ConfigReload reload = new ConfigReload(file, loop, file.toFile().lastModified());
        loop.execute(() -> reload.attach(door));
        Files.writeString(file, "{\"half");
        Signal.raise(new Signal("HUP"));
        Files.writeString(file, moved);
        Signal.raise(new Signal("HUP"));
        assertThat(newDiscovery.asked() + newDiscovery.asked())
                .as("watched, and its whole list fetched")
                .contains("watch=1 ")
                .contains("GET /registry/instances HTTP");
        counter.requests.clear();
        assertThat(ask(rpc("t2", "order", ""))).as("by the old list").endsWith("for t2");
        assertThat(newCounter.asked()).contains("delta=1&");
        assertThat(counter.requests).isEmpty();
        assertThat(counter.ends.poll(10, TimeUnit.SECONDS))
                .as("left once all is answered")
                .isNotNull();
        StandIn second = new StandIn(request -> ok("second"));
        String list = "{\"seq\":3,\"whole\":true,\"hosts\":[" + host("c", second.address(), "in_service") + "]}\n";
        newDiscovery.say("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
        assertThat(discovery.ends.poll(10, TimeUnit.SECONDS))
                .as("the old watch goes with the new list")
                .isEqualTo(1);
        assertThat(ask(rpc("t3", "order", ""))).endsWith("second");
    }

    @Test
    void aConfigurationReplacedWhileTheFrontDoorStartedIsReadOnceDiscoveryIsGoneWithoutSighup() throws Exception {
        String list = "{\"seq\":3,\"whole\":true,\"hosts\":[" + host("b", backend.address(), "in_service") + "]}\n";
        StandIn newDiscovery = new StandIn(request -> request.contains("watch=1")
                ? WATCH + chunk(list)
                : "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
        discovery.close(); // refuses from before the first connection on
        Path file = Files.createTempFile("hopdrum", ".json");
        open.add(() -> Files.delete(file));
        Files.writeString(
                file,
                config(host("b", backend.address(), "in_service"))
                        .replace(discovery.address(), newDiscovery.address()));
        start(host("gone", "127.0.0.1:9", "in_service"));
        ConfigReload reload = new ConfigReload(file, loop, 0);
        loop.execute(() -> reload.attach(door));
        assertThat(newDiscovery.asked()).contains("GET /registry/instances");
        assertThat(ask(rpc("t1", "order", "")))
                .as("by the list of where discovery is now")
                .endsWith("for t1");
        assertThat(counter.asked()).isNotNull();
    }

    @Test
    void aWholeListThatNamesABackendAgainLeavesItsConnectionsOpen() throws Exception {
        start();
        assertThat(ask(rpc("t1", "order", ""))).endsWith("for t1");
        rest();
        loop.execute(() -> door.told(
                Map.of("hosts", List.of(Map.of("host", "b", "dial", backend.address(), "health", "in_service"))),
                true));
        assertThat(ask(rpc("t2", "order", ""))).endsWith("for t2");
        assertThat(backend.sockets).hasSize(1);
    }

    @Test
    void aConfigurationThatCannotBeUsedIsNamedInOneLine() throws IOException {
        String good = config(host("b", backend.address(), "in_service"));
        Config config = Config.parse(good);
        assertThat(config.methods()).containsExactly("checkout", "order");
        assertThat(config.settings().methods().get(1).deadlineUs()).isEqualTo(4_000_000);
        assertThat(config.listen()).isEqualTo(new InetSocketAddress("127.0.0.1", 0));
        Warmup.run(config);
        for (String[] bad : new String[][] {
            {"\"listen\"", "\"x\"", "listen"},
            {"127.0.0.1:0", "localhost:0", "no address"},
            {"AttemptsCap", "Attempts", "Bounds.AttemptsCap"},
            {"\"dedup\"", "\"twice\"", "Effect"},
            {"{\"name\"", "\"name\"", "JSON"}
        }) {
            assertThatThrownBy(() -> Config.parse(good.replace(bad[0], bad[1])))
                    .isInstanceOf(IllegalArgumentException.class)
                    .hasMessageContaining(bad[2])
                    .message()
                    .doesNotContain("\n");
        }
    }

    // ---- Partners ----

    /** All customers are a partner's, whose front doors these are; what was passed on to here is nobody's. */
    private void shares(StandIn... doors) throws Exception {
        CompletableFuture<Void> told = new CompletableFuture<>();
        loop.execute(() -> {
            door.shares(() -> new ShardOwnership() {
                @Override
                public long owner(long customer, boolean passedOn, long nowUs) {
                    return passedOn ? -200_000 : 1;
                }

                @Override
                public long ownershipAgeUs(long customer, long nowUs) {
                    return 0;
                }
            });
            List<ShardOwnership.PartnerEndpoint> there = new ArrayList<>();
            for (StandIn d : doors) {
                there.add(new ShardOwnership.PartnerEndpoint("door/" + d.address(), "z", d.address()));
            }
            door.partners(1, there);
            told.complete(null);
        });
        told.get(10, TimeUnit.SECONDS);
    }

    @Test
    void aPartnersRpcIsPassedOnWithAMarkAndItsAnswerIsTheClientsWhateverItIs() throws Exception {
        start();
        StandIn partner = new StandIn(request -> switch (field(request, "X-Trace-Id")) {
            case "t1" -> ok("theirs");
            case "t2" -> "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 0.250\r\nContent-Length: 0\r\n\r\n";
            case "t3" -> "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
            default -> "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
        });
        shares(partner);
        assertThat(ask(rpc("t1", "order", ""))).startsWith("HTTP/1.1 200 ").endsWith("theirs");
        String passed = partner.asked();
        assertThat(field(passed, "X-Passed-On")).isEqualTo("1");
        assertThat(Long.parseLong(field(passed, "X-Expires-In-Ms")))
                .as("the client's time, not this one's")
                .isBetween(3_500L, 4_000L);
        assertThat(ask(rpc("t2", "order", ""))).startsWith("HTTP/1.1 429 ").contains("Retry-After: 0.250");
        assertThat(ask(rpc("t3", "order", ""))).startsWith("HTTP/1.1 503 ");
        assertThat(ask(rpc("t4", "order", ""))).startsWith("HTTP/1.1 500 ");
        assertThat(counter.requests).isEmpty();
        assertThat(backend.requests).isEmpty();
    }

    @Test
    void anRpcThatWasPassedOnGoesNoFurther() throws Exception {
        start();
        StandIn partner = new StandIn(request -> ok("never"));
        shares(partner);
        assertThat(ask(rpc("t1", "order", "X-Passed-On: 1\r\n")))
                .startsWith("HTTP/1.1 429 ")
                .contains("Retry-After: 0.200");
        assertThat(partner.requests).isEmpty();
    }

    @Test
    void aPartnersDoorThatIsWithdrawnIsAskedNoMoreAndDiscoverysListLeavesTheOthersAlone() throws Exception {
        start();
        StandIn first = new StandIn(request -> ok("first"));
        StandIn second = new StandIn(request -> ok("second"));
        shares(first);
        assertThat(ask(rpc("t1", "order", ""))).endsWith("first");
        shares(second);
        discovery.say(
                chunk("{\"seq\":42,\"whole\":true,\"hosts\":[" + host("b", backend.address(), "in_service") + "]}\n"));
        assertThat(ask(rpc("t2", "order", ""))).endsWith("second");
        assertThat(ask(rpc("t3", "order", ""))).endsWith("second");
        assertThat(first.requests).hasSize(1);
    }

    @Test
    void aPartnersDoorThatBreaksUnderAnRpcIsNotAskedTwice() throws Exception {
        start();
        StandIn partner = new StandIn(request -> null);
        shares(partner);
        assertThat(ask(rpc("t1", "order", ""))).startsWith("HTTP/1.1 500 ");
        assertThat(partner.requests).hasSize(1);
    }
}
