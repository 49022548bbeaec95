package hopdrum.rig.trial;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Stands before the fleet address of one process. Who connects is read from the first frame; from then on each frame of
 * either direction meets the weather between the two. It knows frames' lengths and a hello's name, and nothing else.
 */
final class Relay implements AutoCloseable {
    private static final ObjectMapper CBOR = new CBORMapper();
    private static final int MOST_QUEUED = 10_000;

    /** What one direction between two processes is like; changed while frames are under way. */
    static final class Weather {
        volatile boolean cut;
        volatile boolean held;
        volatile long delayUs;
        volatile double loss;
        volatile double twice;
        volatile long bytesASecond; // 0: as fast as can be
    }

    /** All weather of one trial, by "from>to". */
    static final class Sky {
        private final Map<String, Weather> all = new ConcurrentHashMap<>();

        Weather between(String from, String to) {
            return all.computeIfAbsent(from + ">" + to, k -> new Weather());
        }

        private final Map<String, Double> liars = new ConcurrentHashMap<>();

        /** From now on what this one says it has measured is so many times what it says. */
        void lies(String who, double times) {
            liars.put(who, times);
        }

        void clear() {
            liars.clear();
            for (Weather w : all.values()) {
                w.cut = false;
                w.held = false;
                w.delayUs = 0;
                w.loss = 0;
                w.twice = 0;
                w.bytesASecond = 0;
            }
        }
    }

    private record Frame(byte[] bytes, long atUs) {}

    private final String target;
    private final int targetPort;
    private final Sky sky;
    private final ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Map<Socket, String> peers = new ConcurrentHashMap<>();
    private final SplittableRandom random;

    Relay(String target, int targetPort, Sky sky, long seed) throws IOException {
        this.target = target;
        this.targetPort = targetPort;
        this.sky = sky;
        this.random = new SplittableRandom(seed);
        listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        Threads.start("relay-" + target, this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    private synchronized double chance() {
        return random.nextDouble();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                open.add(socket);
                Threads.start("relay-in", () -> serve(socket));
            } catch (IOException e) {
                if (!listener.isClosed()) {
                    throw new java.io.UncheckedIOException(e);
                }
            }
        }
    }

    private static byte[] frame(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > 16 << 20) {
            throw new IOException("no frame");
        }
        byte[] bytes = new byte[length + 4];
        java.nio.ByteBuffer.wrap(bytes).putInt(length);
        in.readFully(bytes, 4, length);
        return bytes;
    }

    /** A frame as its sender says it, or, of one that lies, with its own readings changed. */
    private byte[] said(String who, byte[] frame) throws IOException {
        Double times = who == null ? null : sky.liars.get(who);
        if (times == null) {
            return frame;
        }
        JsonNode message = CBOR.readTree(frame, 4, frame.length - 4);
        if (!message.path("is").asText().equals("latency")) {
            return frame;
        }
        for (JsonNode reading : message.path("readings")) {
            if (reading.path("observer").asText().equals(who)) {
                ((ObjectNode) reading).put("rttUs", Math.max(1, (long)
                        (reading.path("rttUs").asLong() * times)));
            }
        }
        byte[] body = CBOR.writeValueAsBytes(message);
        return java.nio.ByteBuffer.allocate(body.length + 4)
                .putInt(body.length)
                .put(body)
                .array();
    }

    private void serve(Socket from) {
        Socket to = new Socket();
        open.add(to);
        try (from;
                to) {
            DataInputStream in = new DataInputStream(new java.io.BufferedInputStream(from.getInputStream()));
            byte[] hello = frame(in);
            JsonNode said = CBOR.readTree(hello, 4, hello.length - 4);
            String who = said.path("who").path("name").asText("?");
            peers.put(from, who);
            Weather there = sky.between(who, target);
            Weather back = sky.between(target, who);
            while (there.cut || there.held) { // nothing gets through: not even a refusal
                Thread.sleep(20);
                if (listener.isClosed() || from.isClosed()) {
                    return;
                }
            }
            to.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort), 2_000);
            to.setTcpNoDelay(true);
            from.setTcpNoDelay(true);
            DataInputStream answers = new DataInputStream(new java.io.BufferedInputStream(to.getInputStream()));
            Thread other = Threads.start("relay-back", () -> pump(answers, from, to, back, null, null));
            pump(in, to, from, there, hello, who);
            other.join(1_000);
        } catch (IOException e) {
            // one side has ended: so does the other
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(from);
            open.remove(to);
            peers.remove(from);
        }
    }

    private void pump(DataInputStream in, Socket to, Socket from, Weather weather, byte[] first, String who) {
        LinkedBlockingQueue<Frame> queue = new LinkedBlockingQueue<>(MOST_QUEUED);
        Thread writer = Threads.start("relay-out", () -> write(queue, to, weather));
        try {
            if (first != null) {
                queue.put(new Frame(first, Journal.nowUs()));
            }
            boolean hello = first == null;
            while (true) {
                byte[] bytes = said(who, frame(in));
                boolean mustPass = hello; // the answer to the hello
                hello = false;
                if (weather.cut || (!mustPass && chance() < weather.loss)) {
                    continue;
                }
                queue.put(new Frame(bytes, Journal.nowUs()));
                if (chance() < weather.twice) {
                    queue.put(new Frame(bytes, Journal.nowUs()));
                }
            }
        } catch (IOException e) {
            writer.interrupt();
            Quiet.close(to);
            Quiet.close(from);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void write(LinkedBlockingQueue<Frame> queue, Socket socket, Weather weather) {
        try {
            OutputStream out = socket.getOutputStream();
            while (!socket.isClosed()) {
                Frame frame = queue.poll(100, TimeUnit.MILLISECONDS);
                if (frame == null) {
                    continue;
                }
                while (weather.held || Journal.nowUs() < frame.atUs + weather.delayUs) {
                    Thread.sleep(1);
                }
                if (weather.bytesASecond > 0) {
                    Thread.sleep(frame.bytes.length * 1000L / weather.bytesASecond);
                }
                if (!weather.cut) {
                    out.write(frame.bytes);
                    out.flush();
                }
            }
        } catch (IOException e) {
            Quiet.close(socket);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Resets the connections that these have opened to the target. */
    void reset(Set<String> from) {
        for (Map.Entry<Socket, String> e : new HashSet<>(peers.entrySet())) {
            if (from.contains(e.getValue())) {
                try {
                    e.getKey().setSoLinger(true, 0);
                } catch (IOException x) {
                    // it has ended by itself
                }
                Quiet.close(e.getKey());
            }
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        open.forEach(Quiet::close);
    }
}
