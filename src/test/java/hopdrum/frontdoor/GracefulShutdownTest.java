package hopdrum.frontdoor;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against requests and responses that are lost when a connection closes on SIGTERM or after a last response. */
@Timeout(20)
class GracefulShutdownTest extends FrontDoorFixture {
    private static final long EARLIEST_KILL_NANOS = 3_700_000_000L;

    @Test
    void onSigtermRequestsInFlightAreFinishedAndTheLoopEnds() throws Exception {
        start();
        CompletableFuture<Void> releaseResponse = new CompletableFuture<>();
        backend.responder = request -> {
            releaseResponse.join();
            return okResponse("late");
        };
        Client inFlight = new Client().send(request("t1", "order", ""));
        assertThat(backend.nextRequest()).contains("t1");
        loop.execute(frontDoor::startGracefulShutdown);
        String readiness;
        do {
            readiness = exchange("GET /health/ready HTTP/1.1\r\n\r\n");
        } while (readiness.startsWith("HTTP/1.1 200 "));
        assertThat(readiness)
                .as("connections are still accepted")
                .startsWith("HTTP/1.1 503 ")
                .contains("Connection: close");
        releaseResponse.complete(null);
        assertThat(inFlight.receive()).contains("Connection: close").endsWith("late");
        loopEnded.get(10, TimeUnit.SECONDS);
    }

    @Test
    void aRequestThatArrivesWithSigtermIsAnsweredAndItsConnectionClosesAfterTheResponse() throws Exception {
        start();
        Client idle = new Client();
        assertThat(idle.send(request("t1", "order", "")).receive()).endsWith("for t1");
        loop.execute(frontDoor::startGracefulShutdown);
        assertThat(idle.send(request("t2", "order", "")).receive())
                .contains("Connection: close")
                .endsWith("for t2");
        assertThat(idle.receive()).isNull();
        loopEnded.get(10, TimeUnit.SECONDS);
    }

    @Test
    void aRequestHalfWrittenAtSigtermIsAnsweredOnceItIsComplete() throws Exception {
        start();
        String request = request("t1", "order", "");
        Client client = new Client().send(request.substring(0, 40));
        awaitPendingEvents();
        loop.execute(frontDoor::startGracefulShutdown);
        awaitLoopDelay(700_000); // by now no connection is accepted any more, and idle connections are closed
        assertThat(client.send(request.substring(40)).receive())
                .contains("Connection: close")
                .endsWith("for t1");
        loopEnded.get(10, TimeUnit.SECONDS);
    }

    @Test
    void requestsPipelinedBeforeSigtermAreAllAnsweredAndTheLastResponseClosesTheConnection() throws Exception {
        CompletableFuture<Void> release = new CompletableFuture<>();
        holdResponsesUntil(release, "for ");
        start();
        Client client = new Client()
                .send(withCustomer(1, request("t1", "order", ""))
                        + withCustomer(2, request("t2", "order", ""))
                        + withCustomer(3, request("t3", "order", "")));
        assertThat(backend.nextRequest()).contains("t1");
        awaitPendingEvents();
        loop.execute(frontDoor::startGracefulShutdown);
        awaitPendingEvents();
        release.complete(null);
        assertThat(client.receive()).doesNotContain("Connection: close").endsWith("for t1");
        assertThat(client.receive()).doesNotContain("Connection: close").endsWith("for t2");
        assertThat(client.receive()).contains("Connection: close").endsWith("for t3");
        assertThat(client.receive()).isNull();
        loopEnded.get(10, TimeUnit.SECONDS);
    }

    @Test
    void aRequestAfterTheLastResponseOfAConnectionIsNotForwardedAndCausesNoReset() throws Exception {
        start();
        Client client = new Client().send(request("t1", "order", "Connection: close\r\n"));
        assertThat(client.receive()).contains("Connection: close").endsWith("for t1");
        assertThat(client.receive()).as("the front door has closed its side").isNull();
        client.send(request("t2", "order", ""));
        awaitPendingEvents();
        assertThat(client.socket.getInputStream().read())
                .as("a normal close, no reset")
                .isEqualTo(-1);
        assertThat(backend.requests).hasSize(1);
    }

    @Test
    void aRequestThatCrossesTheCloseOfAnIdleConnectionIsNotForwardedAndCausesNoReset() throws Exception {
        start();
        Client idle = new Client();
        assertThat(idle.send(request("t1", "order", "")).receive()).endsWith("for t1");
        loop.execute(frontDoor::startGracefulShutdown);
        assertThat(idle.receive()).as("closed while idle").isNull();
        String crossing = request("t2", "order", "");
        idle.send(crossing.substring(0, 40));
        CompletableFuture<Void> handled = new CompletableFuture<>();
        loop.execute(() -> handled.complete(null));
        CompletableFuture.anyOf(handled, loopEnded).get(10, TimeUnit.SECONDS);
        idle.send(crossing.substring(40)); // throws if the connection was reset
        assertThat(idle.socket.getInputStream().read())
                .as("a normal close, no reset")
                .isEqualTo(-1);
        loopEnded.get(10, TimeUnit.SECONDS);
        assertThat(backend.requests).as("the crossing request is not forwarded").hasSize(1);
    }

    @Test
    void aLongResponseThatItsClientReadsOnlyAfterTheProcessHasEndedIsComplete() throws Exception {
        String body = "0123456789abcdef".repeat(60_000);
        CompletableFuture<Void> release = new CompletableFuture<>();
        holdResponsesUntil(release, body);
        start();
        Client slowReader = new Client().send(request("t1", "order", ""));
        assertThat(backend.nextRequest()).contains("t1");
        loop.execute(frontDoor::startGracefulShutdown);
        release.complete(null);
        loopEnded.get(10, TimeUnit.SECONDS);
        assertThat(slowReader.receive()).as("the response is complete").endsWith(body + "t1");
    }

    /** Guards against a request that the earliest SIGKILL, 3.7 s after SIGTERM, finds unanswered. */
    @Test
    void aRequestThatIsCompletedLateIsAnsweredBeforeTheEarliestKill() throws Exception {
        backend.responder = request -> NO_RESPONSE;
        changeSetting(
                "\"AimUs\":2000000,\"GiveUpUs\":4000000,\"Effect\":\"fragile\"",
                "\"AimUs\":4000000,\"GiveUpUs\":4000000,\"Effect\":\"fragile\"");
        start();
        String request = request("t1", "order", "");
        Client client = new Client().send(request.substring(0, 40));
        awaitPendingEvents();
        long sigtermNanos = System.nanoTime();
        loop.execute(frontDoor::startGracefulShutdown);
        awaitLoopDelay(1_500_000);
        assertThat(client.send(request.substring(40)).receive()).startsWith("HTTP/1.1 ");
        assertThat(System.nanoTime() - sigtermNanos).isLessThan(EARLIEST_KILL_NANOS);
    }

    /** Guards against a client that keeps pipelining, so that its connection never closes. */
    @Test
    void aClientThatNeverStopsSendingGetsAResponseAndAClosedConnectionBeforeTheEarliestKill() throws Exception {
        start();
        Client client = new Client();
        long sigtermNanos = System.nanoTime();
        loop.execute(frontDoor::startGracefulShutdown);
        runInBackground(() -> {
            for (int i = 0; true; i++) {
                client.send(withCustomer(i, request("t" + i, "order", ""))
                        + withCustomer(i, request("u" + i, "order", "")));
            }
        });
        int answers = 0;
        String answer = client.receive();
        while (answer != null && !answer.contains("Connection: close")) {
            answers++;
            answer = client.receive();
        }
        assertThat(answer).as("the last response").isNotNull();
        assertThat(answers).isPositive();
        loopEnded.get(10, TimeUnit.SECONDS);
        assertThat(System.nanoTime() - sigtermNanos).isLessThan(EARLIEST_KILL_NANOS);
    }
}
