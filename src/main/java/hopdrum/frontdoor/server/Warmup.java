package hopdrum.frontdoor.server;

import static hopdrum.frontdoor.wire.Ascii.ascii;

import hopdrum.frontdoor.lifecycle.Config;
import hopdrum.frontdoor.lifecycle.Log;
import hopdrum.frontdoor.wire.BackendResponse;
import hopdrum.frontdoor.wire.BufferMemory;
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
 * Loads and compiles the classes on the usual path of a request before the first client connects. Without the warm-up,
 * the first requests of a process take so long that their calls to the counter time out. Parsers, writers and a
 * separate Policy handle simulated requests on a simulated clock, without sockets. No state is kept.
 */
public final class Warmup implements Host {
    private static final int MAX_REQUESTS = 500;
    private static final long MAX_DURATION_NANOS = 400_000_000L;
    private static final int BUFFER_BYTES = 1 << 17;
    private static final int COUNTER_BUFFER_BYTES = 1 << 16;
    private static final long STEP_US = 500;
    private static final int STEPS_PER_REQUEST = 4;
    private static final byte[] BACKEND_RESPONSE =
            ascii("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 8\r\n\r\n12345678");
    private static final byte[] COUNTER_RESPONSE = ascii("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n12.5");

    private final Config config;
    private final List<byte[]> requestMessages;
    private final RequestHead head;
    private final RingBuffer fromClient = new RingBuffer(BUFFER_BYTES, BufferMemory.UNLIMITED);
    private final RingBuffer toClient = new RingBuffer(BUFFER_BYTES, BufferMemory.UNLIMITED);
    private final RingBuffer backendBuffer = new RingBuffer(BUFFER_BYTES, BufferMemory.UNLIMITED);
    private final RingBuffer counterBuffer = new RingBuffer(COUNTER_BUFFER_BYTES, BufferMemory.UNLIMITED);
    private final HttpReader requestReader = new HttpReader(HttpReader.Kind.REQUEST);
    private final HttpReader responseReader = new HttpReader(HttpReader.Kind.RESPONSE);
    private final Deque<Runnable> pendingResponses = new ArrayDeque<>();
    private final Map<Long, Request> openRequests = new HashMap<>();
    private final Policy policy;
    private long nowUs = 1_000_000_000_000L;
    private long wakeUpAtUs = Long.MAX_VALUE;

    private Warmup(Config config) {
        this.config = config;
        head = new RequestHead(
                config.methods(),
                config.plans(),
                config.settings().methods(),
                config.settings().gatewayCount(),
                config.maxUnits());
        requestMessages = ExampleRequests.forAllMethodsAndPlans(config);
        policy = new Policy(config.settings(), 1, this);
        policy.endpointsUpdated(0, Endpoint.UpdateKind.CACHED, List.of(endpoint(1), endpoint(2), endpoint(3)));
    }

    private static Endpoint endpoint(long backendId) {
        return new Endpoint(backendId, 0, 0, 0, Endpoint.State.READY, 1, 0);
    }

    /** Handles up to 500 simulated requests, with the settings of a configuration; stops early after 400 ms. */
    public static void run(Config config) {
        long startNanos = System.nanoTime();
        Warmup warmup = new Warmup(config);
        int handled = 0;
        try {
            while (handled < MAX_REQUESTS && System.nanoTime() - startNanos < MAX_DURATION_NANOS) {
                warmup.handleRequest(handled++);
            }
        } catch (MalformedMessageException e) {
            throw new IllegalStateException("a simulated message is malformed", e);
        }
        new Log("warmup")
                .info("warmed up", handled + " requests in " + (System.nanoTime() - startNanos) / 1_000_000 + " ms");
    }

    private void handleRequest(int number) throws MalformedMessageException {
        put(fromClient, requestMessages.get(number % requestMessages.size()));
        requestReader.read(fromClient);
        head.read(fromClient, requestReader);
        long requestId = number;
        Request request = policy.requestReceived(
                requestId,
                head.method,
                head.customer,
                head.plan,
                head.units,
                head.firstGateway,
                head.gatewayCount,
                head.timeLeftMs * 1000);
        openRequests.put(requestId, request);
        for (int i = 0; i < STEPS_PER_REQUEST; i++) {
            nowUs += STEP_US;
            for (int due = pendingResponses.size(); due > 0; due--) {
                pendingResponses.poll().run();
            }
            if (nowUs >= wakeUpAtUs) {
                wakeUpAtUs = Long.MAX_VALUE;
                policy.wakeUp();
            }
        }
        openRequests.values().removeIf(Request::isFinished);
        requestReader.removeMessage(fromClient);
        toClient.skip(toClient.size());
    }

    private static void put(RingBuffer buffer, byte[] bytes) {
        buffer.reserve(bytes.length);
        buffer.put(bytes);
    }

    @Override
    public long nowUs() {
        return nowUs;
    }

    @Override
    public void startAttempt(long requestId, long backendId, long timeoutUs, long writeWithinUs) {
        RequestForwarder.forward(fromClient, requestReader, timeoutUs / 1000, false, backendBuffer);
        backendBuffer.skip(backendBuffer.size());
        pendingResponses.add(() -> respondToAttempt(requestId));
    }

    private void respondToAttempt(long requestId) {
        Request request = openRequests.get(requestId);
        if (request != null) {
            readResponse(backendBuffer, BACKEND_RESPONSE);
            Outcome outcome = BackendResponse.outcome(backendBuffer, responseReader);
            HttpWriter.forwardResponse(backendBuffer, responseReader, false, toClient);
            float[] report = BackendResponse.loadReport(
                    backendBuffer, responseReader, config.settings().reportFields());
            responseReader.removeMessage(backendBuffer);
            request.attemptEnded(0, outcome, STEP_US, true, 0, report);
        }
    }

    private void readResponse(RingBuffer buffer, byte[] bytes) {
        put(buffer, bytes);
        try {
            responseReader.read(buffer);
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void cancelAttempt(long requestId, int attemptNumber) {
        // every simulated attempt gets a response
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        HttpWriter.writeEmptyResponse(429, retryAfterUs, false, toClient);
    }

    @Override
    public void abort(long requestId) {
        HttpWriter.writeEmptyResponse(500, 0, false, toClient);
    }

    @Override
    public void addToCounter(long name, double units, long timeToLiveUs) {
        CounterProtocol.writeRequest(name, units, timeToLiveUs / 1000, counterBuffer);
        counterBuffer.skip(counterBuffer.size());
        pendingResponses.add(() -> respondToCounterCall(name));
    }

    private void respondToCounterCall(long name) {
        readResponse(counterBuffer, COUNTER_RESPONSE);
        try {
            double total =
                    CounterProtocol.readReply(counterBuffer, responseReader).total();
            responseReader.removeMessage(counterBuffer);
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
        wakeUpAtUs = nowUs + delayUs;
    }

    @Override
    public void pollEndpointList() {
        // the endpoint list is simulated
    }
}
