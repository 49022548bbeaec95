package hopdrum.frontdoor.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import hopdrum.host.Method;
import hopdrum.host.Outcome;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Parsers and writers: fed byte by byte and cut anywhere, without a socket. */
class WireStoryTest {
    private static final String RPC =
            "POST /api?area=7 HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: 9b1f\r\nX-Qos: checkout\r\n"
                    + "Plan: team\r\nCookie: a=b; key=00000000b4d65521\r\nX-Expires-In-Ms: 480\r\nIdempotency-Key: 5c0f\r\n"
                    + "Content-Length: 5\r\nQuota-Info: units=2,spread=3,first=1\r\n\r\nhello";
    private final RingBuffer ring = ring();

    private static RingBuffer ring() {
        return new RingBuffer(128 << 10, by -> {});
    }

    private static void put(RingBuffer ring, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        assertThat(ring.reserve(bytes.length)).isTrue();
        ring.put(bytes);
    }

    private static RequestHead head() {
        List<Method> rows = new ArrayList<>();
        for (Method.RetrySafety repeat : List.of(
                Method.RetrySafety.DEDUPLICATED, Method.RetrySafety.IDEMPOTENT, Method.RetrySafety.NON_IDEMPOTENT)) {
            rows.add(new Method(2, 4, repeat, Method.DeduplicationScope.ALL, 0, 0, false));
        }
        return new RequestHead(List.of("checkout", "browse", "order"), List.of("solo", "team"), rows, 4, 6);
    }

    private static String all(RingBuffer ring) {
        return ring.text(0, ring.size());
    }

    private HttpReader whole(HttpReader.Kind kind, String text) throws MalformedMessageException {
        HttpReader reader = new HttpReader(kind);
        put(ring, text);
        assertThat(reader.read(ring)).isTrue();
        return reader;
    }

    @Test
    void anRpcCutAnywhereReadsTheSame() throws MalformedMessageException {
        for (int cut = 0; cut < RPC.length(); cut++) {
            RingBuffer cutRing = ring();
            HttpReader reader = new HttpReader(HttpReader.Kind.REQUEST);
            put(cutRing, RPC.substring(0, cut));
            assertThat(reader.read(cutRing)).isFalse();
            put(cutRing, RPC.substring(cut));
            assertThat(reader.read(cutRing)).isTrue();
            RequestHead head = head();
            head.read(cutRing, reader);
            assertThat(List.of(
                            head.method,
                            head.plan,
                            head.customer,
                            head.units,
                            head.gateways,
                            head.firstGateway,
                            head.timeLeftMs))
                    .isEqualTo(List.of(0, 1, 0xb4d65521L, 2.0, 3, 1, 480L));
            assertThat(cutRing.text(reader.bodyFrom(), reader.bodyTo())).isEqualTo("hello");
        }
    }

    @Test
    void twoRequestsAtOnceAreReadOneAfterAnother() throws MalformedMessageException {
        HttpReader reader =
                whole(HttpReader.Kind.REQUEST, RPC + "\r\nGET /api HTTP/1.1\r\nConnection: x, close\r\n\r\n");
        assertThat(reader.keepAlive()).isTrue();
        reader.done(ring);
        assertThat(reader.read(ring)).isTrue();
        assertThat(ring.text(0, reader.targetTo())).isEqualTo("GET /api");
        assertThat(reader.keepAlive()).isFalse();
        reader.done(ring);
        assertThat(ring.isEmpty()).isTrue();
    }

    @Test
    void aChunkedAnswerFedByteByByteComesOutInOnePiece() throws MalformedMessageException {
        HttpReader reader = new HttpReader(HttpReader.Kind.RESPONSE);
        String answer = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "3;x=y\r\nabc\r\n0A\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n";
        for (int i = 0; i < answer.length(); i++) {
            put(ring, answer.substring(i, i + 1));
            assertThat(reader.read(ring)).isEqualTo(i == answer.length() - 1);
        }
        assertThat(ring.text(reader.bodyFrom(), reader.bodyTo())).isEqualTo("abc0123456789");
        reader.done(ring);
        assertThat(ring.isEmpty()).isTrue();
    }

    @Test
    void anAnswerWithoutALengthIsNeverWhole() throws MalformedMessageException {
        HttpReader reader = new HttpReader(HttpReader.Kind.RESPONSE);
        put(ring, "HTTP/1.1 200 OK\r\n\r\nall of it, or not");
        assertThat(reader.read(ring)).isFalse();
        assertThat(reader.isUntilClose()).isTrue();
        reader.endAtHead();
        assertThat(reader.read(ring)).as("its head alone").isTrue();
        assertThat(reader.bodyTo()).isEqualTo(reader.bodyFrom());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "noise without a line's end",
                "HTTP/1x",
                "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
                "HTTP/1.1 101 Other\r\n\r\n"
            })
    void anAnswerThatIsSpoiltIsKnownAtOnce(String text) {
        put(ring, text);
        assertThatThrownBy(() -> new HttpReader(HttpReader.Kind.RESPONSE).read(ring))
                .isInstanceOf(MalformedMessageException.class);
    }

    @Test
    void interimAnswersWithoutEndAreNotReadForEver() {
        put(ring, "HTTP/1.1 102 Wait\r\n\r\n".repeat(5000));
        assertThatThrownBy(() -> new HttpReader(HttpReader.Kind.RESPONSE).read(ring))
                .isInstanceOf(MalformedMessageException.class);
    }

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
    void loadFiguresThatCannotBeReadAreNoReport(String figures) throws MalformedMessageException {
        HttpReader reader = whole(
                HttpReader.Kind.RESPONSE,
                "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT " + figures + "\r\nContent-Length: 0\r\n\r\n");
        assertThat(BackendResponse.outcome(ring, reader)).isEqualTo(Outcome.OK);
        assertThat(BackendResponse.loadReport(ring, reader, List.of("depth", "load_share")))
                .isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET  HTTP/1.1\r\n\r\n",
                "GET /api\r\n\r\n",
                "GET /api HTTP/2.0\r\n\r\n",
                "GET /api HTTP/1.1\n\n",
                "GET /api HTTP/1.1\r\nNo colon\r\n\r\n",
                "GET /api HTTP/1.1\r\nA : b\r\n\r\n",
                "GET /api HTTP/1.1\r\n folded\r\n\r\n",
                "GET /api HTTP/1.1\r\nContent-Length: x\r\n\r\n",
                "GET /api HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
                "GET /api HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                "GET /a\u0001 HTTP/1.1\r\n\r\n",
                "GET /api HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
                "GET /api HTTP/1.1\r\nA: b\rc\r\n\r\n",
                "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab"
            })
    void whatIsMalformedIsABadRequest(String text) {
        put(ring, text);
        assertThatThrownBy(() -> new HttpReader(HttpReader.Kind.REQUEST).read(ring))
                .isInstanceOf(MalformedMessageException.class)
                .hasFieldOrPropertyWithValue("status", 400);
    }

    @Test
    void aHeadOrABodyThatIsTooLongIsNamed() {
        put(ring, "GET /api HTTP/1.1\r\nLong: " + "x".repeat(HttpReader.MAX_HEAD_BYTES));
        assertThatThrownBy(() -> new HttpReader(HttpReader.Kind.REQUEST).read(ring))
                .hasFieldOrPropertyWithValue("status", 431);
        RingBuffer other = ring();
        put(other, "POST /api HTTP/1.1\r\nContent-Length: 65537\r\n\r\n");
        assertThatThrownBy(() -> new HttpReader(HttpReader.Kind.REQUEST).read(other))
                .hasFieldOrPropertyWithValue("status", 413);
    }

    @ParameterizedTest
    @CsvSource({
        "X-Trace-Id: 9b1f, X-Other: 1, 400",
        "X-Qos: checkout, X-Qos: nothing, 400",
        "Plan: team, Plan: none, 400",
        "key=00000000b4d65521, key=00000002b4d65521, 400",
        "units=2, units=two, 400",
        "spread=3, spread=0, 400",
        "Expires-In-Ms: 480, Expires-In-Ms: soon, 400",
        "/api?area=7, /other, 404",
        "spread=3, spread=5, 400",
        "first=1, first=4, 400",
        "units=2, units=7, 400",
        "units=2, units=0, 400",
        "units=2, units=0x1p1, 400",
        "units=2, units=2d, 400",
        "units=2, units=-2, 400",
        "units=2, units=1e0, 400",
        "units=2, units=1_units=2, 400",
        "spread=3, spread=3_spread=3, 400",
        "Plan: team, Plan: team|Plan: solo, 400",
        "X-Qos: checkout, X-Qos: checkout|X-Qos: order, 400",
        "X-Trace-Id: 9b1f, X-Trace-Id: 9b1f|x-trace-id: 9b1f, 400",
        "X-Trace-Id: 9b1f, X-Trace-Id:, 400",
        "Cookie: a=b, Cookie: key=0000000000000001, 400",
        "Idempotency-Key: 5c0f, Idempotency-Key:, 400",
        "Idempotency-Key: 5c0f, X-A: 1, 400",
        "POST, GET, 405",
        "POST, PUT, 405",
        "checkout, browse, 405",
        "POST_checkout, GET_browse, 400"
    })
    void aHeadThatNamesNoRpcIsTurnedDown(String what, String by, int status) throws MalformedMessageException {
        String text = RPC;
        for (int i = 0;
                i < (what.contains("_") ? 2 : 1);
                i++) { // a blank, a line's end and a comma do not stand in the table
            text = what.contains("_")
                    ? text.replace(what.split("_")[i], by.split("_")[i])
                    : text.replace(what, by.replace("|", "\r\n").replace('_', ','));
        }
        HttpReader reader = whole(HttpReader.Kind.REQUEST, text);
        assertThatThrownBy(() -> head().read(ring, reader))
                .isInstanceOf(MalformedMessageException.class)
                .hasFieldOrPropertyWithValue("status", status);
    }

    @Test
    void anRpcPassesOnButForWhatIsBetweenNeighbours() throws MalformedMessageException {
        HttpReader reader = whole(HttpReader.Kind.REQUEST, RPC.replace("Host:", "Connection: keep-alive\r\nHost:"));
        RingBuffer out = ring();
        assertThat(RequestForwarder.forward(ring, reader, 321, false, out)).isTrue();
        assertThat(all(out))
                .isEqualTo(
                        "POST /api?area=7 HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: 9b1f\r\n"
                                + "X-Qos: checkout\r\nPlan: team\r\nCookie: a=b; key=00000000b4d65521\r\nIdempotency-Key: 5c0f\r\n"
                                + "Quota-Info: units=2,spread=3,first=1\r\nX-Expires-In-Ms: 321\r\nContent-Length: 5\r\n\r\nhello");
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
    void aBackendsAnswerMeansWhatThePageSays(String status, String field, Outcome outcome)
            throws MalformedMessageException {
        HttpReader reader = whole(
                HttpReader.Kind.RESPONSE,
                "HTTP/1.1 " + status + "\r\n" + field
                        + "\r\nEndpoint-Load-Metrics: TEXT inflight=7, queue=2, util=0.61\r\nContent-Length: 0\r\n\r\n");
        assertThat(BackendResponse.outcome(ring, reader)).isEqualTo(outcome);
        assertThat(BackendResponse.loadReport(ring, reader, List.of("depth", "load_share")))
                .containsExactly(2f, 0.61f);
        assertThat(BackendResponse.loadReport(ring, reader, List.of("tps"))).isEmpty();
    }

    @Test
    void anAnswerKeepsItsBodyAndARefusalNamesItsTime() throws MalformedMessageException {
        HttpReader reader = whole(
                HttpReader.Kind.RESPONSE,
                "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc");
        RingBuffer out = ring();
        assertThat(HttpWriter.forwardResponse(ring, reader, true, out)).isTrue();
        assertThat(all(out))
                .isEqualTo(
                        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc");
        out.skip(out.size());
        assertThat(HttpWriter.emptyResponse(429, 1_234_567, false, out)).isTrue();
        assertThat(all(out))
                .isEqualTo("HTTP/1.1 429 Too Many Requests\r\nRetry-After: 1.235\r\nContent-Length: 0\r\n\r\n");
    }

    @Test
    void aCallOnTheCounterHasNoExponentAndItsTotalIsANumber() throws MalformedMessageException {
        RingBuffer out = ring();
        assertThat(CounterProtocol.writeCall(0x1fL, -2.5, 4000, out)).isTrue();
        assertThat(all(out)).startsWith("POST /v2/numbers/1f?delta=-2.500000&life_ms=4000 HTTP/1.1\r\n");
        assertThat(CounterProtocol.decimal(1e-5)).isEqualTo("0.000010");
        assertThat(CounterProtocol.decimal(-0.25)).isEqualTo("-0.250000");
        assertThat(CounterProtocol.decimal(123_456_789)).isEqualTo("123456789");
        HttpReader reader = whole(HttpReader.Kind.RESPONSE, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n12.5\n");
        assertThat(CounterProtocol.total(ring, reader)).isEqualTo(12.5);
        reader.done(ring);
        HttpReader none = whole(HttpReader.Kind.RESPONSE, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nNaN");
        assertThatThrownBy(() -> CounterProtocol.total(ring, none)).isInstanceOf(MalformedMessageException.class);
    }

    @Test
    void aWatchCutAnywhereGivesItsLines() throws MalformedMessageException {
        String watch =
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n{\"se\r\n5\r\nq\":1}\r\n2\r\n\n\n\r\n8\r\n{\"q\":2}\n\r\n";
        for (int cut = 0; cut <= watch.length(); cut++) {
            List<String> lines = new ArrayList<>();
            EndpointListReader reader = new EndpointListReader(lines::add);
            RingBuffer bytes = ring();
            put(bytes, watch.substring(0, cut));
            reader.read(bytes);
            put(bytes, watch.substring(cut));
            assertThat(reader.read(bytes)).isFalse();
            assertThat(lines).containsExactly("{\"seq\":1}", "", "{\"q\":2}");
        }
        List<String> lines = new ArrayList<>();
        put(ring, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n[12]");
        assertThat(new EndpointListReader(lines::add).read(ring)).isTrue();
        assertThat(lines).containsExactly("[12]");
    }

    @Test
    void anIndentedListIsOneMessageAndOneCutShortTakesNoOtherAlong() throws MalformedMessageException {
        List<String> lines = new ArrayList<>();
        put(
                ring,
                "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\n  \"seq\": 1,\n  \"hosts\": [\n    {\"host\": \"}\\\"{\"}\n  ]\n}\n\n"
                        + "{\"seq\":2,\"hosts\":[\n\n{\"seq\":3,\"ho\n{\"seq\":4}\n");
        new EndpointListReader(lines::add).read(ring);
        assertThat(lines).hasSize(6);
        assertThat(JsonReader.parse(lines.get(0)))
                .isEqualTo(Map.of("seq", 1.0, "hosts", List.of(Map.of("host", "}\"{"))));
        assertThat(lines.subList(1, 6))
                .containsExactly("", "{\"seq\":2,\"hosts\":[", "", "{\"seq\":3,\"ho", "{\"seq\":4}");
    }

    @Test
    void jsonIsReadOrItsPlaceNamed() {
        assertThat(JsonReader.parse(" {\"a\":[1,-2.5e1,true,null,\"x\\u0041\\n\"],\"b\":{}} "))
                .isEqualTo(Map.of("a", java.util.Arrays.asList(1.0, -25.0, true, null, "xA\n"), "b", Map.of()));
        for (String bad :
                new String[] {"", "{", "[1,]", "{\"a\" 1}", "\"\\x\"", "tru", "1 2", "[".repeat(100), "\"\u0001\""}) {
            assertThatThrownBy(() -> JsonReader.parse(bad))
                    .isInstanceOf(IllegalArgumentException.class)
                    .hasMessageContaining("character");
        }
    }

    @Test
    void aRingWrapsGrowsAndShrinksWithoutLosingAByte() {
        long[] held = {0};
        RingBuffer small = new RingBuffer(4096, by -> held[0] += by);
        StringBuilder in = new StringBuilder();
        StringBuilder out = new StringBuilder();
        for (int i = 0; i < 200; i++) {
            String piece = Integer.toString(i * 7919).repeat(i % 20);
            put(small, piece);
            in.append(piece);
            int taken = Math.min(small.size(), i % 90);
            out.append(small.text(0, taken));
            small.skip(taken);
            if (small.size() > 3800) {
                out.append(all(small));
                small.skip(small.size());
                small.shrink();
                assertThat(held[0]).isEqualTo(1024);
            }
        }
        out.append(all(small));
        assertThat(out.toString()).isEqualTo(in.toString());
        assertThat(small.reserve(4097 - small.size())).isFalse();
        small.free();
        assertThat(held[0]).isZero();
    }
}
