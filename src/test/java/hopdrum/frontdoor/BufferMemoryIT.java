package hopdrum.frontdoor;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a process that runs out of heap, and against usual clients that go unanswered, when many connections
 * fill their buffers at once. The process has the deploy file's heap.
 */
@Timeout(90)
class BufferMemoryIT extends FrontDoorFixture {
    private static final int MAX_BODY_BYTES = 64 << 10;
    private static final int USUAL_CLIENTS = 10;
    private static final int PAUSE_BETWEEN_REQUESTS_MS = 50;
    private static final long BAD_CLIENTS_ARE_OWED_NANOS = 3_000_000_000L;

    @TempDir
    Path folder;

    private DeployedFrontDoor process;
    private final AtomicBoolean stopUsualClients = new AtomicBoolean();
    private final AtomicInteger usualRequests = new AtomicInteger();
    private final Queue<String> failedUsualRequests = new ConcurrentLinkedQueue<>();
    private final CountDownLatch usualClientsEnded = new CountDownLatch(USUAL_CLIENTS);

    @Override
    SocketAddress frontDoorAddress() {
        return process.address;
    }

    private void startProcess(String hosts) throws Exception {
        changeSetting("\"PerSecond\":1.0", "\"PerSecond\":0.0"); // no quotas, so that a slow counter rejects nothing
        process = closeAtEnd(new DeployedFrontDoor(folder, configJson(hosts)));
    }

    /** Starts usual clients, every other one with the longest body; each answer has to be the backend's. */
    private void startUsualClients() {
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            int number = i;
            runInBackground(() -> {
                try {
                    sendUsualRequests(number);
                } finally {
                    usualClientsEnded.countDown();
                }
            });
        }
    }

    private void sendUsualRequests(int number) throws Exception {
        String body = number % 2 == 0 ? "" : "b".repeat(MAX_BODY_BYTES);
        Client client = new Client();
        for (int i = 0; !stopUsualClients.get(); i++) {
            String traceId = "usual" + number + "-" + i;
            usualRequests.incrementAndGet();
            String answer;
            try {
                answer = client.send(withCustomer(
                                1000 * number + i,
                                request(traceId, "order", "Content-Length: " + body.length() + "\r\n") + body))
                        .receive();
            } catch (IOException e) {
                answer = e.toString();
            }
            if (answer == null || !answer.endsWith("for " + traceId)) {
                failedUsualRequests.add(traceId + ": " + answer);
                client = new Client();
            }
            Thread.sleep(PAUSE_BETWEEN_REQUESTS_MS);
        }
    }

    private void assertUsualClientsWereServed() throws Exception {
        stopUsualClients.set(true);
        assertThat(usualClientsEnded.await(20, TimeUnit.SECONDS)).isTrue();
        assertThat(process.isRunning()).as(process.log()).isTrue();
        assertThat(failedUsualRequests).as(process.log()).isEmpty();
        assertThat(usualRequests.get()).isGreaterThan(2 * USUAL_CLIENTS);
    }

    /** Five hundred clients that stop 100 bytes before the end of a 64 KiB request ended the process. */
    @Test
    void clientsThatStopInTheMiddleOfARequestLeaveTheOthersServed() throws Exception {
        startProcess(hostJson("b", backend.address(), "in_service"));
        startUsualClients();
        List<Client> stalled = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            stalled.add(new Client());
        }
        String incomplete = request("stalled", "order", "Content-Length: " + MAX_BODY_BYTES + "\r\n")
                + "x".repeat(MAX_BODY_BYTES - 100);
        for (Client client : stalled) {
            client.send(incomplete);
        }
        long stalledSinceNanos = System.nanoTime();
        for (Client client : stalled) {
            assertThat(endingOf(client)).isIn("408", "503", "closed");
        }
        assertThat(System.nanoTime() - stalledSinceNanos).isLessThan(BAD_CLIENTS_ARE_OWED_NANOS);
        assertUsualClientsWereServed();
    }

    /** Returns the status of a client's response, or how its connection has ended without one. */
    private static String endingOf(Client client) {
        try {
            String response = client.receive();
            return response == null ? "closed" : response.split(" ", 3)[1];
        } catch (SocketTimeoutException e) {
            return "none";
        } catch (IOException e) {
            return "closed";
        }
    }

    /** Responses that stop before their end, on many connections to backends, ended the process. */
    @Test
    void backendsThatStopInTheMiddleOfALongResponseLeaveTheOthersServed() throws Exception {
        String longResponse = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + "x".repeat(999_000);
        backend.responder = request -> field(request, "X-Trace-Id").startsWith("long")
                ? longResponse
                : okResponse("for " + field(request, "X-Trace-Id"));
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            hosts.add(hostJson("b" + i, backend.address(), "in_service"));
        }
        startProcess(String.join(",", hosts));
        startUsualClients();
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            clients.add(new Client());
        }
        for (int i = 0; i < clients.size(); i++) {
            clients.get(i).send(withCustomer(100_000 + i, request("long" + i, "order", "")));
        }
        for (Client client : clients) {
            assertThat(endingOf(client)).as(process.log()).isIn("429", "500", "503");
        }
        assertUsualClientsWereServed();
    }

    /** Long responses that many clients do not read ended the process. */
    @Test
    void clientsThatDoNotReadTheirResponsesLeaveTheOthersServed() throws Exception {
        String longBody = "x".repeat(1_000_000);
        backend.responder = request -> okResponse((field(request, "X-Trace-Id").startsWith("long") ? longBody : "")
                + "for "
                + field(request, "X-Trace-Id"));
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            hosts.add(hostJson("b" + i, backend.address(), "in_service"));
        }
        startProcess(String.join(",", hosts));
        startUsualClients();
        for (int i = 0; i < 50; i++) {
            Socket socket = closeAtEnd(new Socket());
            socket.setReceiveBufferSize(4096);
            socket.connect(process.address);
            for (int j = 0; j < 3; j++) {
                String request = withCustomer(100_000 + 10 * i + j, request("long" + i + "-" + j, "order", ""));
                socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            }
        }
        Thread.sleep(4000);
        assertUsualClientsWereServed();
    }

    /** A list of discovery that does not fit into the heap once it is parsed ended the process. */
    @Test
    void aListOfFarTooManyBackendsLeavesTheLastOneInForce() throws Exception {
        AtomicInteger watches = new AtomicInteger();
        discovery.responder = request -> WATCH_HEAD + chunk(listOf(watches.getAndIncrement() == 0 ? 10_000 : 45_000));
        discovery.afterResponse = AfterResponse.CLOSE; // so that the watch is opened again, and gets the longer list
        startProcess(hostJson("b", backend.address(), "in_service"));
        startUsualClients();
        Thread.sleep(4000);
        assertThat(watches.get())
                .as("lists that discovery has sent; " + process.log())
                .isGreaterThan(1);
        assertThat(process.log()).contains("a message from discovery is longer than ");
        assertUsualClientsWereServed();
    }

    private String listOf(int backends) {
        StringBuilder list = new StringBuilder("{\"seq\":42,\"whole\":true,\"hosts\":[");
        for (int i = 0; i < backends; i++) {
            list.append(i == 0 ? "" : ",").append(hostJson("b" + i, backend.address(), "in_service"));
        }
        return list.append("]}\n").toString();
    }
}
