package hopdrum.benchlink;

import hopdrum.host.Endpoint;
import hopdrum.host.Host;
import hopdrum.host.Outcome;
import hopdrum.host.SettingsReader;
import hopdrum.policy.Policy;
import hopdrum.policy.Request;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One gateway of the bench: translates events into calls on its {@link Policy}, and the policy's calls into action
 * records.
 */
final class GatewayInstance implements Host {
    private static final float[] NO_REPORT = {};
    private static final int MAX_FAULT_BYTES = 0xffff;

    private final int number;
    private final RecordWriter writer;
    // By request id; a request is removed once it is finished.
    private final Map<Long, Request> openRequests = new HashMap<>();
    // Null before the instance is attached and after a fault.
    private Policy policy;
    private long nowUs;

    GatewayInstance(int number, RecordWriter writer) {
        this.number = number;
        this.writer = writer;
    }

    /**
     * Handles one event. An exception in this program ends the instance and is reported to the bench.
     *
     * @param in the record, at the field after the instance's number; read to the end of the record
     * @param clockUs the time of the batch in microseconds
     * @throws BufferUnderflowException if the record runs past the frame's end
     * @throws MalformedRecordException if a field has a value that the protocol does not allow
     */
    void handle(EventType event, ByteBuffer in, long clockUs) throws MalformedRecordException {
        nowUs = clockUs;
        try {
            switch (event) {
                case REQUEST_RECEIVED -> requestReceived(in);
                case TIMER_DUE -> timerDue(in);
                case COUNTER_REPLIED -> counterReplied(in);
                case CLIENT_LEFT -> clientLeft(in);
                case ENDPOINTS_UPDATED -> endpointsUpdated(in);
                case HEALTH_CHECK_ENDED -> skipHealthCheck(in);
                case ATTEMPT_ENDED -> attemptEnded(in);
                case GOSSIP_RECEIVED -> gossipReceived(in);
                case INSTANCE_ATTACHED -> attach(in);
                case STREAM_STARTED -> streamStarted(in);
                case INSTANCE_STOPPED ->
                    throw new IllegalArgumentException("INSTANCE_STOPPED must be handled by BenchLink");
            }
        } catch (BufferUnderflowException e) {
            throw e;
        } catch (RuntimeException e) {
            policy = null;
            reportFault(e);
        }
    }

    private void attach(ByteBuffer in) {
        long seed = in.getLong();
        byte[] text = readBytes(in, readUnsignedInt(in));
        Map<String, String> settings = new HashMap<>();
        for (String line : new String(text, StandardCharsets.UTF_8).split("\n", -1)) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                settings.put(
                        line.substring(0, equals), line.substring(equals + 1).strip());
            }
        }
        policy = new Policy(SettingsReader.read(settings), seed, this);
    }

    private void requestReceived(ByteBuffer in) {
        long id = readUnsignedInt(in);
        long customer = in.getLong();
        int firstGateway = (int) in.getFloat();
        double units = in.getFloat();
        int method = in.getShort() & 0xffff;
        int plan = in.getShort() & 0xffff;
        // Flags for a client's retry and for a write; not used.
        in.get();
        int gateways = (int) in.getFloat();
        long remainingUs = readUnsignedInt(in);
        if (policy != null) {
            Request request =
                    policy.requestReceived(id, method, customer, plan, units, firstGateway, gateways, remainingUs);
            trackWhileOpen(id, request);
        }
    }

    private void timerDue(ByteBuffer in) {
        // The timer's key; a policy has only one wake-up.
        in.getInt();
        if (policy != null) {
            policy.wakeUp();
        }
    }

    private void counterReplied(ByteBuffer in) throws MalformedRecordException {
        long name = in.getLong();
        Outcome outcome = readOutcome(in);
        double total = in.getFloat();
        long tookUs = readUnsignedInt(in);
        if (policy != null) {
            policy.counterAnswered(name, outcome, total, tookUs);
        }
    }

    private void clientLeft(ByteBuffer in) {
        long id = readUnsignedInt(in);
        Request request = openRequests.get(id);
        if (request != null) {
            request.clientLeft();
            trackWhileOpen(id, request);
        }
    }

    private void attemptEnded(ByteBuffer in) throws MalformedRecordException {
        long id = readUnsignedInt(in);
        int attempt = in.getShort() & 0xffff;
        in.getInt(); // backend
        Outcome outcome = readOutcome(in);
        long tookUs = readUnsignedInt(in);
        boolean clientAnswered = in.get() != 0;
        // The customer's metered use; not used.
        in.getShort();
        int settledUnits = in.getShort() & 0xffff;
        float[] report = readReport(in);
        Request request = openRequests.get(id);
        if (request != null) {
            request.attemptEnded(attempt, outcome, tookUs, clientAnswered, settledUnits, report);
            trackWhileOpen(id, request);
        }
    }

    private void streamStarted(ByteBuffer in) {
        long id = readUnsignedInt(in);
        int attempt = in.getShort() & 0xffff;
        in.getInt(); // backend
        in.getInt(); // latency
        Request request = openRequests.get(id);
        if (request != null) {
            request.streamStarted(attempt);
        }
    }

    private void endpointsUpdated(ByteBuffer in) throws MalformedRecordException {
        // The version of the list; lists arrive in order.
        in.getLong();
        int form = in.get();
        long count = readUnsignedInt(in);
        List<Endpoint> endpoints = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            endpoints.add(readEndpoint(in));
        }
        Endpoint.UpdateKind kind = switch (form) {
            case 0 -> Endpoint.UpdateKind.NONE;
            case 1 -> Endpoint.UpdateKind.INCREMENTAL;
            case 2 -> Endpoint.UpdateKind.CACHED;
            case 4 -> Endpoint.UpdateKind.COMPLETE;
            default -> throw new MalformedRecordException("unknown form " + form + " of an endpoint list");
        };
        if (policy != null) {
            policy.endpointsUpdated(0, kind, endpoints);
        }
    }

    private static Endpoint readEndpoint(ByteBuffer in) throws MalformedRecordException {
        long backend = readUnsignedInt(in);
        int zone = in.getShort() & 0xffff;
        int kind = in.get() & 0xff;
        int cell = in.getShort() & 0xffff;
        int stateCode = in.get();
        double weight = in.getFloat();
        long startedAtUs = in.getLong();
        Endpoint.State state = switch (stateCode) {
            case 0 -> Endpoint.State.DRAINING;
            case 1 -> Endpoint.State.GONE;
            case 2 -> Endpoint.State.READY;
            default -> throw new MalformedRecordException("unknown state " + stateCode + " of a backend");
        };
        return new Endpoint(backend, zone, kind, cell, state, weight, startedAtUs);
    }

    /** Reads the record of a health check to its end and ignores it: a policy requests no health checks. */
    private void skipHealthCheck(ByteBuffer in) throws MalformedRecordException {
        readOutcome(in);
        in.getInt(); // backend
        in.getInt(); // latency
        readReport(in);
    }

    private void gossipReceived(ByteBuffer in) {
        // The number of the sender; not used.
        in.getShort();
        byte[] message = readBytes(in, in.getShort() & 0xffff);
        if (policy != null) {
            policy.gossipReceived(message);
        }
    }

    private void trackWhileOpen(long id, Request request) {
        if (request.isFinished()) {
            openRequests.remove(id);
        } else {
            openRequests.put(id, request);
        }
    }

    /**
     * Removes a request that is finished. A request that is answered after a counter's reply or a timer is finished at
     * once, unless attempts are still in flight.
     */
    private void removeIfFinished(long id) {
        Request request = openRequests.get(id);
        if (request != null && request.isFinished()) {
            openRequests.remove(id);
        }
    }

    private static long readUnsignedInt(ByteBuffer in) {
        return in.getInt() & 0xffffffffL;
    }

    private static byte[] readBytes(ByteBuffer in, long count) {
        if (count > in.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] bytes = new byte[(int) count];
        in.get(bytes);
        return bytes;
    }

    private static float[] readReport(ByteBuffer in) {
        int count = in.get() & 0xff;
        if (count == 0) {
            return NO_REPORT;
        }
        float[] report = new float[count];
        for (int i = 0; i < count; i++) {
            report[i] = in.getFloat();
        }
        return report;
    }

    private static Outcome readOutcome(ByteBuffer in) throws MalformedRecordException {
        short code = in.getShort();
        return switch (code) {
            case 10 -> Outcome.OK;
            case 20 -> Outcome.ERROR;
            case 30 -> Outcome.AT_CAPACITY;
            case 40 -> Outcome.TIMED_OUT;
            case 50 -> Outcome.CONNECT_FAILED;
            case 60 -> Outcome.RESET;
            case 70 -> Outcome.CANCELLED;
            case 80 -> Outcome.INVALID_REQUEST;
            default -> throw new MalformedRecordException("unknown outcome " + code);
        };
    }

    private void reportFault(RuntimeException e) {
        StackTraceElement[] stack = e.getStackTrace();
        byte[] utf8 = (e + (stack.length > 0 ? " at " + stack[0] : "")).getBytes(StandardCharsets.UTF_8);
        int size = Math.min(utf8.length, MAX_FAULT_BYTES);
        writer.startRecord(ActionType.REPORT_FAULT, number, size)
                .putShort((short) size)
                .put(utf8, 0, size);
    }

    @Override
    public long nowUs() {
        return nowUs;
    }

    @Override
    public void startAttempt(long request, long backend, long timeOutUs, long beginWithinUs) {
        writer.startRecord(ActionType.START_ATTEMPT, number)
                .putInt((int) request)
                .putInt((int) timeOutUs)
                .putInt((int) backend);
    }

    @Override
    public void cancelAttempt(long request, int attempt) {
        writer.startRecord(ActionType.CANCEL_ATTEMPT, number)
                .putInt((int) request)
                .putShort((short) attempt);
    }

    @Override
    public void reject(long request, long retryAfterUs) {
        writer.startRecord(ActionType.REJECT, number).putInt((int) request).putInt((int) retryAfterUs);
        removeIfFinished(request);
    }

    @Override
    public void abort(long request) {
        writer.startRecord(ActionType.ABORT, number).putInt((int) request);
        removeIfFinished(request);
    }

    @Override
    public void addToCounter(long name, double units, long timeToLiveUs) {
        writer.startRecord(ActionType.ADD_TO_COUNTER, number)
                .putLong(name)
                .putFloat((float) units)
                .putInt((int) timeToLiveUs);
    }

    @Override
    public void sendToPeer(int gateway, byte[] message) {
        writer.startRecord(ActionType.SEND_TO_PEER, number, message.length)
                .putShort((short) gateway)
                .putShort((short) message.length)
                .put(message);
    }

    @Override
    public void scheduleWakeUp(long delayUs) {
        writer.startRecord(ActionType.SCHEDULE_WAKE_UP, number)
                .putInt((int) delayUs)
                .putInt(0);
    }

    @Override
    public void pollEndpointList() {
        writer.startRecord(ActionType.POLL_ENDPOINT_LIST, number).put((byte) 1);
    }
}
