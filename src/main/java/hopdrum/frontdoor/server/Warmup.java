package hopdrum.frontdoor.server;

import static hopdrum.frontdoor.wire.Ascii.ascii;

import hopdrum.frontdoor.lifecycle.Config;
import hopdrum.frontdoor.lifecycle.Log;
import hopdrum.frontdoor.wire.BackendResponse;
import hopdrum.frontdoor.wire.CounterProtocol;
import hopdrum.frontdoor.wire.HttpReader;
import hopdrum.frontdoor.wire.HttpWriter;
import hopdrum.frontdoor.wire.MalformedMessageException;
import hopdrum.frontdoor.wire.RequestForwarder;
import hopdrum.frontdoor.wire.RequestHead;
import hopdrum.frontdoor.wire.RingBuffer;
import hopdrum.host.Endpoint;
import hopdrum.host.Host;
import hopdrum.host.Outcome;
import hopdrum.policy.Policy;
import hopdrum.policy.Request;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Loads and compiles the ordinary path before the first client comes: guards against the first RPCs of a process taking
 * so long that their calls to the counter time out. Parsers, writers and a Policy of its own handle simulated RPCs on a
 * simulated clock, without a socket; nothing of it is kept.
 */
public final class Warmup implements Host {
    private static final int MAX_RPCS = 500;
    private static final long MAX_NANOS = 400_000_000L;
    private static final RingBuffer.MemoryListener NO_ACCOUNT = byBytes -> {};
    private static final int RING_BYTES = 1 << 17;
    private static final int COUNTER_RING_BYTES = 1 << 16;
    private static final long STEP_US = 500;
    private static final int STEPS_PER_RPC = 4;
    private static final byte[] BACKEND_RESPONSE =
            ascii("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 8\r\n\r\n12345678");
    private static final byte[] COUNTER_RESPONSE = ascii("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n12.5");

    private final Config config;
    private final List<byte[]> requests;
    private final RequestHead head;
    private final RingBuffer client = new RingBuffer(RING_BYTES, NO_ACCOUNT);
    private final RingBuffer toClient = new RingBuffer(RING_BYTES, NO_ACCOUNT);
    private final RingBuffer backend = new RingBuffer(RING_BYTES, NO_ACCOUNT);
    private final RingBuffer counter = new RingBuffer(COUNTER_RING_BYTES, NO_ACCOUNT);
    private final HttpReader request = new HttpReader(HttpReader.Kind.REQUEST);
    private final HttpReader response = new HttpReader(HttpReader.Kind.RESPONSE);
    private final Deque<Runnable> replies = new ArrayDeque<>();
    private final Map<Long, Request> openRpcs = new HashMap<>();
    private final Policy policy;
    private long nowUs = 1_000_000_000_000L;
    private long wakeAtUs = Long.MAX_VALUE;

    private Warmup(Config config) {
        this.config = config;
        head = new RequestHead(
                config.methods(),
                config.plans(),
                config.settings().methods(),
                config.settings().gatewayCount(),
                config.maxUnits());
        requests = ExampleRequests.rpcs(config);
        policy = new Policy(config.settings(), 1, this);
        policy.endpointsUpdated(0, Endpoint.UpdateKind.CACHED, List.of(endpoint(1), endpoint(2), endpoint(3)));
    }

    private static Endpoint endpoint(long backend) {
        return new Endpoint(backend, 0, 0, 0, Endpoint.State.READY, 1, 0);
    }

    /** Handles some hundred RPCs, or as many as there is time for, with a configuration's settings. */
    public static void run(Config config) {
        long start = System.nanoTime();
        Warmup warmup = new Warmup(config);
        int rpcs = 0;
        try {
            while (rpcs < MAX_RPCS && System.nanoTime() - start < MAX_NANOS) {
                warmup.runRpc(rpcs++);
            }
        } catch (MalformedMessageException e) {
            throw new IllegalStateException("a message of this program's own cannot be read", e);
        }
        new Log("warmup").info("warmed up", rpcs + " RPCs in " + (System.nanoTime() - start) / 1_000_000 + " ms");
    }

    private void runRpc(int number) throws MalformedMessageException {
        put(client, requests.get(number % requests.size()));
        request.read(client);
        head.read(client, request);
        long id = number;
        Request rpc = policy.requestReceived(
                id,
                head.method,
                head.customer,
                head.plan,
                head.units,
                head.firstGateway,
                head.gatewayCount,
                head.timeLeftMs * 1000);
        openRpcs.put(id, rpc);
        for (int i = 0; i < STEPS_PER_RPC; i++) {
            nowUs += STEP_US;
            for (int n = replies.size(); n > 0; n--) {
                replies.poll().run();
            }
            if (nowUs >= wakeAtUs) {
                wakeAtUs = Long.MAX_VALUE;
                policy.wakeUp();
            }
        }
        openRpcs.values().removeIf(Request::isFinished);
        request.removeMessage(client);
        toClient.skip(toClient.size());
    }

    private static void put(RingBuffer ring, byte[] bytes) {
        ring.reserve(bytes.length);
        ring.put(bytes);
    }

    @Override
    public long nowUs() {
        return nowUs;
    }

    @Override
    public void startAttempt(long id, long to, long timeOutUs, long beginWithinUs) {
        RequestForwarder.forward(client, request, timeOutUs / 1000, false, backend);
        backend.skip(backend.size());
        replies.add(() -> respond(id));
    }

    private void respond(long id) {
        Request rpc = openRpcs.get(id);
        if (rpc != null) {
            readResponse(backend, BACKEND_RESPONSE);
            Outcome outcome = BackendResponse.outcome(backend, response);
            HttpWriter.forwardResponse(backend, response, false, toClient);
            float[] report = BackendResponse.loadReport(
                    backend, response, config.settings().reportFields());
            response.removeMessage(backend);
            rpc.attemptEnded(0, outcome, STEP_US, true, 0, report);
        }
    }

    private void readResponse(RingBuffer ring, byte[] bytes) {
        put(ring, bytes);
        try {
            response.read(ring);
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void cancelAttempt(long id, int attempt) {
        // every attempt here gets its response
    }

    @Override
    public void reject(long id, long retryAfterUs) {
        HttpWriter.writeEmptyResponse(429, retryAfterUs, false, toClient);
    }

    @Override
    public void abort(long id) {
        HttpWriter.writeEmptyResponse(500, 0, false, toClient);
    }

    @Override
    public void addToCounter(long name, double units, long timeToLiveUs) {
        CounterProtocol.writeRequest(name, units, timeToLiveUs / 1000, counter);
        counter.skip(counter.size());
        replies.add(() -> reply(name));
    }

    private void reply(long name) {
        readResponse(counter, COUNTER_RESPONSE);
        try {
            double total = CounterProtocol.readReply(counter, response).total();
            response.removeMessage(counter);
            policy.counterAnswered(name, Outcome.OK, total, STEP_US);
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void sendToPeer(int gateway, byte[] message) {
        // there are no peers
    }

    @Override
    public void scheduleWakeUp(long delayUs) {
        wakeAtUs = nowUs + delayUs;
    }

    @Override
    public void pollEndpointList() {
        // the endpoint list is simulated
    }
}
