package hopdrum.frontdoor;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Responses of backends that are malformed, truncated, or followed by more. */
@Timeout(20)
class BackendResponseOverSocketsTest extends FrontDoorFixture {
    private static final String NO_LENGTH = "HTTP/1.1 200 OK\r\n\r\n";

    @Test
    void aTruncatedResponseIsNotForwarded() throws Exception {
        start();
        backend.responder = request -> {
            runInBackground(() -> {
                backend.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
                backend.sockets.get(0).shutdownOutput();
            });
            return NO_RESPONSE;
        };
        assertThat(exchange(request("t1", "order", ""))).startsWith("HTTP/1.1 500 ");
    }

    @Test
    void malformedResponsesAbortAtOnceAndGoodOnesStandWhateverComesWithThem() throws Exception {
        start();
        for (String malformed : new String[] {
            "\u0001\u0002",
            "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nab",
            "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
            "HTTP/1.1 200 OK\r\n\r\nuntil when",
            "HTTP/1.1 2"
        }) {
            backend.responder = request -> malformed;
            long fromNanos = System.nanoTime();
            assertThat(exchange(request("t1", "order", ""))).as(malformed).startsWith("HTTP/1.1 500 ");
            assertThat(System.nanoTime() - fromNanos)
                    .as("well before its time runs out")
                    .isLessThan(1_000_000_000L);
        }
        for (String field :
                new String[] {"Endpoint-Load-Metrics: TEXT inflight=1, what=2", "Endpoint-Load-Metrics: \u00ff=="}) {
            backend.responder = request -> "HTTP/1.1 102 Wait\r\n\r\n"
                    + okResponse("good").replace("\r\n\r\n", "\r\n" + field + "\r\n\r\n") + "noise";
            assertThat(exchange(request("t2", "order", "")))
                    .startsWith("HTTP/1.1 200 ")
                    .endsWith("good");
        }
    }

    @Test
    void bytesBehindAResponseAreNeverTakenForTheNextOne() throws Exception {
        start();
        Client client = new Client();
        assertThat(client.send(request("t", "order", "")).receive()).endsWith("for t");
        awaitReusableConnection();
        counter.responder = request -> {
            CompletableFuture<Void> held = new CompletableFuture<>();
            CompletableFuture<Void> go = new CompletableFuture<>();
            loop.execute(() -> {
                held.complete(null);
                go.join();
            });
            held.join();
            try { // the loop finds both at once, and first the one that makes it write the next attempt
                counter.send(okResponse("1"));
                backend.send(okResponse("for another"));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } finally {
                go.complete(null);
            }
            counter.responder = more -> okResponse("1");
            return NO_RESPONSE;
        };
        assertThat(client.send(request("t2", "order", "")).receive()).endsWith("for t2");
    }

    @Test
    void aResponseWithoutLengthIsForwardedCompleteOnceItsConnectionHasEndedInOrder() throws Exception {
        backend.responder = request -> NO_LENGTH + "all of it";
        backend.afterResponse = AfterResponse.CLOSE;
        start();
        assertThat(exchange(request("t1", "order", "")))
                .startsWith("HTTP/1.1 200 ")
                .contains("Content-Length: 9")
                .endsWith("all of it");
    }

    @Test
    void aResponseWithoutLengthThatIsResetIsNoResponse() throws Exception {
        backend.responder = request -> {
            runInBackground(() -> {
                backend.send(NO_LENGTH + "half");
                awaitPendingEvents();
                reset(backend.newestConnection());
            });
            return NO_RESPONSE;
        };
        start();
        assertThat(exchange(request("t1", "order", ""))).startsWith("HTTP/1.1 500 ");
    }

    @Test
    void aResponseThatNeverEndsAffectsItselfAlone() throws Exception {
        backend.responder = request -> {
            runInBackground(() -> {
                backend.send(NO_LENGTH);
                while (true) {
                    backend.send("x".repeat(10_000));
                }
            });
            return NO_RESPONSE;
        };
        start();
        assertThat(exchange(withCustomer(1, request("t1", "order", "")))).startsWith("HTTP/1.1 500 ");
        backend.responder = request -> okResponse("for " + field(request, "X-Trace-Id"));
        assertThat(exchange(withCustomer(2, request("t2", "order", "")))).endsWith("for t2");
    }
}
