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

/** One gateway on the wire: turns its records into calls on its Policy, and the Policy's calls into records. */
final class Instance implements Host {
    private static final float[] NO_REPORT = {};

    private final int number;
    private final Reply reply;
    private final Map<Long, Request> open = new HashMap<>(); // an entry goes when its RPC is over
    private Policy policy;
    private long nowUs;

    Instance(int number, Reply reply) {
        this.number = number;
        this.reply = reply;
    }

    void record(int code, ByteBuffer in, long clockUs) throws MalformedRecord {
        nowUs = clockUs;
        try {
            switch (code) {
                case 16 -> inbound(in);
                case 18 -> due(in);
                case 19 -> counted(in);
                case 20 -> lapsed(in);
                case 21 -> view(in);
                case 22 -> probed(in);
                case 23 -> done(in);
                case 24 -> message(in);
                case 25 -> attach(in);
                case 26 -> headers(in);
                default -> throw new MalformedRecord("unknown event code " + code);
            }
        } catch (BufferUnderflowException e) {
            throw e;
        } catch (RuntimeException e) {
            policy = null;
            broken(e);
        }
    }

    private void attach(ByteBuffer in) {
        long seed = in.getLong();
        byte[] text = bytes(in, in.getInt() & 0xffffffffL);
        Map<String, String> pairs = new HashMap<>();
        for (String line : new String(text, StandardCharsets.UTF_8).split("\n")) {
            int eq = line.indexOf('=');
            if (eq > 0) {
                pairs.put(line.substring(0, eq), line.substring(eq + 1).strip());
            }
        }
        policy = new Policy(SettingsReader.read(pairs), seed, this);
    }

    private void inbound(ByteBuffer in) {
        long id = unsigned(in);
        long customer = in.getLong();
        int first = (int) in.getFloat();
        double units = in.getFloat();
        int method = in.getShort() & 0xffff;
        int plan = in.getShort() & 0xffff;
        in.get();
        int gateways = (int) in.getFloat();
        long leftUs = unsigned(in);
        if (policy != null) {
            Request rpc = policy.requestReceived(id, method, customer, plan, units, first, gateways, leftUs);
            keep(id, rpc);
        }
    }

    private void due(ByteBuffer in) {
        in.getInt();
        if (policy != null) {
            policy.wakeUp();
        }
    }

    private void counted(ByteBuffer in) throws MalformedRecord {
        long name = in.getLong();
        Outcome outcome = outcome(in.getShort());
        double total = in.getFloat();
        long tookUs = unsigned(in);
        if (policy != null) {
            policy.counterAnswered(name, outcome, total, tookUs);
        }
    }

    private void lapsed(ByteBuffer in) {
        long id = unsigned(in);
        Request rpc = open.get(id);
        if (rpc != null) {
            rpc.clientLeft();
            keep(id, rpc);
        }
    }

    private void done(ByteBuffer in) throws MalformedRecord {
        long id = unsigned(in);
        int attempt = in.getShort() & 0xffff;
        in.getInt();
        Outcome outcome = outcome(in.getShort());
        long tookUs = unsigned(in);
        boolean over = in.get() != 0;
        in.getShort();
        int settled = in.getShort() & 0xffff;
        float[] report = report(in);
        Request rpc = open.get(id);
        if (rpc != null) {
            rpc.attemptEnded(attempt, outcome, tookUs, over, settled, report);
            keep(id, rpc);
        }
    }

    private void headers(ByteBuffer in) {
        long id = unsigned(in);
        int attempt = in.getShort() & 0xffff;
        in.getInt();
        in.getInt();
        Request rpc = open.get(id);
        if (rpc != null) {
            rpc.streamStarted(attempt);
        }
    }

    private void view(ByteBuffer in) throws MalformedRecord {
        in.getLong();
        int form = in.get();
        long count = in.getInt() & 0xffffffffL;
        List<Endpoint> entries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            long backend = unsigned(in);
            int zone = in.getShort() & 0xffff;
            int kind = in.get() & 0xff;
            int cell = in.getShort() & 0xffff;
            int state = in.get();
            double weight = in.getFloat();
            long startedAtUs = in.getLong();
            entries.add(new Endpoint(
                    backend,
                    zone,
                    kind,
                    cell,
                    switch (state) {
                        case 0 -> Endpoint.State.DRAINING;
                        case 1 -> Endpoint.State.GONE;
                        case 2 -> Endpoint.State.READY;
                        default -> throw new MalformedRecord("unknown state " + state + " of a backend");
                    },
                    weight,
                    startedAtUs));
        }
        Endpoint.UpdateKind meaning = switch (form) {
            case 0 -> Endpoint.UpdateKind.NONE;
            case 1 -> Endpoint.UpdateKind.INCREMENTAL;
            case 2 -> Endpoint.UpdateKind.CACHED;
            case 4 -> Endpoint.UpdateKind.COMPLETE;
            default -> throw new MalformedRecord("unknown form " + form + " of a list");
        };
        if (policy != null) {
            policy.endpointsUpdated(0, meaning, entries);
        }
    }

    private void probed(ByteBuffer in) throws MalformedRecord {
        outcome(in.getShort());
        in.getInt();
        in.getInt();
        report(in);
    }

    private void message(ByteBuffer in) {
        in.getShort();
        byte[] message = bytes(in, in.getShort() & 0xffff);
        if (policy != null) {
            policy.gossipReceived(message);
        }
    }

    private void keep(long id, Request rpc) {
        if (rpc.isFinished()) {
            open.remove(id);
        } else {
            open.put(id, rpc);
        }
    }

    /** One that is answered on a count's or a timer's news is over at once, unless attempts are still out. */
    private void answered(long id) {
        Request rpc = open.get(id);
        if (rpc != null && rpc.isFinished()) {
            open.remove(id);
        }
    }

    private static long unsigned(ByteBuffer in) {
        return in.getInt() & 0xffffffffL;
    }

    private static byte[] bytes(ByteBuffer in, long count) {
        if (count > in.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] bytes = new byte[(int) count];
        in.get(bytes);
        return bytes;
    }

    private static float[] report(ByteBuffer in) {
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

    private static Outcome outcome(short status) throws MalformedRecord {
        return switch (status) {
            case 10 -> Outcome.OK;
            case 20 -> Outcome.ERROR;
            case 30 -> Outcome.AT_CAPACITY;
            case 40 -> Outcome.TIMED_OUT;
            case 50 -> Outcome.CONNECT_FAILED;
            case 60 -> Outcome.RESET;
            case 70 -> Outcome.CANCELLED;
            case 80 -> Outcome.INVALID_REQUEST;
            default -> throw new MalformedRecord("unknown outcome " + status);
        };
    }

    private void broken(RuntimeException e) {
        StackTraceElement[] where = e.getStackTrace();
        byte[] utf8 = (e + (where.length > 0 ? " at " + where[0] : "")).getBytes(StandardCharsets.UTF_8);
        int size = Math.min(utf8.length, 0xffff);
        reply.record(89, number, 7 + size).putShort((short) size).put(utf8, 0, size);
    }

    @Override
    public long nowUs() {
        return nowUs;
    }

    @Override
    public void startAttempt(long rpc, long backend, long timeOutUs, long beginWithinUs) {
        reply.record(80, number, 17).putInt((int) rpc).putInt((int) timeOutUs).putInt((int) backend);
    }

    @Override
    public void cancelAttempt(long rpc, int attempt) {
        reply.record(83, number, 11).putInt((int) rpc).putShort((short) attempt);
    }

    @Override
    public void reject(long rpc, long retryAfterUs) {
        reply.record(81, number, 13).putInt((int) rpc).putInt((int) retryAfterUs);
        answered(rpc);
    }

    @Override
    public void abort(long rpc) {
        reply.record(82, number, 9).putInt((int) rpc);
        answered(rpc);
    }

    @Override
    public void addToCounter(long name, double units, long timeToLiveUs) {
        reply.record(92, number, 21).putLong(name).putFloat((float) units).putInt((int) timeToLiveUs);
    }

    @Override
    public void sendToPeer(int gateway, byte[] message) {
        reply.record(87, number, 9 + message.length)
                .putShort((short) gateway)
                .putShort((short) message.length)
                .put(message);
    }

    @Override
    public void scheduleWakeUp(long delayUs) {
        reply.record(84, number, 13).putInt((int) delayUs).putInt(0);
    }

    @Override
    public void pollEndpointList() {
        reply.record(90, number, 6).put((byte) 1);
    }
}
