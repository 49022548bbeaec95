package hopdrum.frontdoor.wire;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.Outcome;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the interpretation of backend responses and the responses that clients receive. Guards against unusable load
 * metrics that are taken as a report, and against a wrong outcome of an attempt.
 */
class ResponseTest {
    private final RingBuffer ring = WireFixture.ring();

    @ParameterizedTest
    @ValueSource(
            strings = {
                "queue=lots, util=0.6",
                "queue=NaN, util=0.6",
                "queue=-1, util=0.6",
                "queue=2, queue=3",
                "unheard=1",
                "\u00ff"
            })
    void loadReportWithUnusableMetricsIsIgnored(String metrics) throws MalformedMessageException {
        HttpReader reader = WireFixture.readMessage(
                ring,
                HttpReader.Kind.RESPONSE,
                "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT " + metrics + "\r\nContent-Length: 0\r\n\r\n");
        assertThat(BackendResponse.outcome(ring, reader)).isEqualTo(Outcome.OK);
        assertThat(BackendResponse.loadReport(ring, reader, List.of("depth", "load_share")))
                .isEmpty();
    }

    @ParameterizedTest
    @CsvSource({
        "200 OK, X-A: 1, OK",
        "500 Broken, X-A: 1, ERROR",
        "503 Full, X-Never-Ran: 1, AT_CAPACITY",
        "504 Over, x-never-ran: 1, AT_CAPACITY",
        "503 Full, X-A: 1, ERROR",
        "404 None, X-Never-Ran: 1, INVALID_REQUEST",
        "400 Unfit, X-A: 1, INVALID_REQUEST"
    })
    void backendStatusDeterminesTheOutcome(String status, String field, Outcome outcome)
            throws MalformedMessageException {
        HttpReader reader = WireFixture.readMessage(
                ring,
                HttpReader.Kind.RESPONSE,
                "HTTP/1.1 " + status + "\r\n" + field
                        + "\r\nEndpoint-Load-Metrics: TEXT inflight=7, queue=2, util=0.61\r\nContent-Length: 0\r\n\r\n");
        assertThat(BackendResponse.outcome(ring, reader)).isEqualTo(outcome);
        assertThat(BackendResponse.loadReport(ring, reader, List.of("depth", "load_share")))
                .containsExactly(2f, 0.61f);
        assertThat(BackendResponse.loadReport(ring, reader, List.of("tps"))).isEmpty();
    }

    @Test
    void forwardedResponseKeepsBodyAndRejectionHasRetryAfter() throws MalformedMessageException {
        HttpReader reader = WireFixture.readMessage(
                ring,
                HttpReader.Kind.RESPONSE,
                "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc");
        RingBuffer out = WireFixture.ring();
        assertThat(HttpWriter.forwardResponse(ring, reader, true, out)).isTrue();
        assertThat(WireFixture.allText(out))
                .isEqualTo(
                        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc");
        out.skip(out.size());
        assertThat(HttpWriter.writeEmptyResponse(429, 1_234_567, false, out)).isTrue();
        assertThat(WireFixture.allText(out))
                .isEqualTo("HTTP/1.1 429 Too Many Requests\r\nRetry-After: 1.235\r\nContent-Length: 0\r\n\r\n");
    }
}
