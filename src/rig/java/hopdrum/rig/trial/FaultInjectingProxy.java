package hopdrum.rig.trial;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A TCP proxy in front of the fleet address of one front door. It learns the connecting member from the first frame,
 * the hello, and applies the faults of the link between the two members to each frame of either direction. It
 * interprets only the lengths of frames, the member name in a hello and the readings in a latency message.
 */
final class FaultInjectingProxy implements AutoCloseable {
    private static final ObjectMapper CBOR = new CBORMapper();
    private static final int BACKLOG = 256;
    private static final int QUEUE_CAPACITY = 10_000;
    private static final int MAX_FRAME_BYTES = 16 << 20;
    private static final int HEADER_BYTES = 4;
    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private static final int PARTITION_POLL_MS = 20;
    private static final int DRAIN_MS = 1_000;

    private final String target;
    private final int targetPort;
    private final NetworkFaults network;
    private final LoopbackListener listener;
    private final Map<Socket, String> peers = new ConcurrentHashMap<>();
    private final SplittableRandom random;

    /**
     * Starts a proxy; it accepts connections at once.
     *
     * @param target the member name of the front door behind the proxy
     * @param targetPort the loopback port on which that front door listens for the fleet
     * @param network the faults of all links
     * @param seed the seed of the random choice of lost and duplicated frames
     * @throws IOException if no port can be opened
     */
    FaultInjectingProxy(String target, int targetPort, NetworkFaults network, long seed) throws IOException {
        this.target = target;
        this.targetPort = targetPort;
        this.network = network;
        this.random = new SplittableRandom(seed);
        this.listener = new LoopbackListener(BACKLOG);
        listener.start("proxy-" + target, this::serve);
    }

    /** Returns the loopback port on which the proxy accepts connections. */
    int port() {
        return listener.port();
    }

    private synchronized boolean nextBoolean(double probability) {
        return random.nextDouble() < probability;
    }

    private static byte[] readFrame(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > MAX_FRAME_BYTES) {
            throw new IOException("invalid frame length: " + length);
        }
        byte[] frame = new byte[HEADER_BYTES + length];
        ByteBuffer.wrap(frame).putInt(length);
        in.readFully(frame, HEADER_BYTES, length);
        return frame;
    }

    private static JsonNode parse(byte[] frame) throws IOException {
        return CBOR.readTree(frame, HEADER_BYTES, frame.length - HEADER_BYTES);
    }

    /**
     * Returns the frame that is forwarded for a sender's frame: the same one, except that the sender's own readings in
     * a latency message are multiplied if its latencies are to be falsified.
     */
    private byte[] withFalsifiedLatencies(String sender, byte[] frame) throws IOException {
        Double factor = network.latencyFactor(sender);
        if (factor == null) {
            return frame;
        }
        JsonNode message = parse(frame);
        if (!message.path("is").asText().equals("latency")) {
            return frame;
        }
        for (JsonNode reading : message.path("readings")) {
            if (reading.path("observer").asText().equals(sender)) {
                long falsifiedUs = (long) (reading.path("rttUs").asLong() * factor);
                ((ObjectNode) reading).put("rttUs", Math.max(1, falsifiedUs));
            }
        }
        byte[] body = CBOR.writeValueAsBytes(message);
        return ByteBuffer.allocate(HEADER_BYTES + body.length)
                .putInt(body.length)
                .put(body)
                .array();
    }

    private void serve(Socket client) {
        Socket server = new Socket();
        listener.track(server);
        try (client;
                server) {
            DataInputStream fromPeer = new DataInputStream(new BufferedInputStream(client.getInputStream()));
            byte[] hello = readFrame(fromPeer);
            String peer = parse(hello).path("who").path("name").asText("?");
            peers.put(client, peer);
            LinkFaults forward = network.linkFaults(peer, target);
            LinkFaults backward = network.linkFaults(target, peer);
            if (!awaitReachable(forward, client)) {
                return;
            }
            server.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort), CONNECT_TIMEOUT_MS);
            server.setTcpNoDelay(true);
            client.setTcpNoDelay(true);
            DataInputStream fromTarget = new DataInputStream(new BufferedInputStream(server.getInputStream()));
            Thread replyThread =
                    DaemonThreads.start("proxy-back", () -> forwardToPeer(fromTarget, server, client, backward));
            forwardToTarget(fromPeer, client, server, forward, hello, peer);
            replyThread.join(DRAIN_MS);
        } catch (IOException e) {
            // One side has ended the connection; both sockets are closed.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            listener.untrack(client);
            listener.untrack(server);
            peers.remove(client);
        }
    }

    /**
     * Waits while the link is partitioned or held, so that the peer sees neither an accepted hello nor a refused
     * connection.
     *
     * @return whether the link is reachable; false if the proxy or the peer's connection was closed meanwhile
     */
    private boolean awaitReachable(LinkFaults faults, Socket client) throws InterruptedException {
        while (faults.isPartitioned() || faults.isHeld()) {
            Thread.sleep(PARTITION_POLL_MS);
            if (listener.isClosed() || client.isClosed()) {
                return false;
            }
        }
        return true;
    }

    private void forwardToTarget(
            DataInputStream in, Socket from, Socket to, LinkFaults faults, byte[] hello, String sender) {
        BlockingQueue<TimedBytes> queue = new LinkedBlockingQueue<>(QUEUE_CAPACITY);
        Thread writer = DaemonThreads.start("proxy-out", () -> write(queue, to, faults));
        try {
            queue.put(TimedBytes.receivedNow(hello));
            while (true) {
                enqueue(withFalsifiedLatencies(sender, readFrame(in)), queue, faults, false);
            }
        } catch (IOException e) {
            endConnection(writer, to, from);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Forwards frames to the peer. The first one, the reply to the hello, is never lost at random: without this frame
     * there is no connection on which further frames could be lost.
     */
    private void forwardToPeer(DataInputStream in, Socket from, Socket to, LinkFaults faults) {
        BlockingQueue<TimedBytes> queue = new LinkedBlockingQueue<>(QUEUE_CAPACITY);
        Thread writer = DaemonThreads.start("proxy-out", () -> write(queue, to, faults));
        try {
            enqueue(readFrame(in), queue, faults, true);
            while (true) {
                enqueue(readFrame(in), queue, faults, false);
            }
        } catch (IOException e) {
            endConnection(writer, to, from);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void endConnection(Thread writer, Socket to, Socket from) {
        writer.interrupt();
        Closeables.closeQuietly(to);
        Closeables.closeQuietly(from);
    }

    private void enqueue(byte[] frame, BlockingQueue<TimedBytes> queue, LinkFaults faults, boolean isHelloReply)
            throws InterruptedException {
        if (faults.isPartitioned() || (!isHelloReply && nextBoolean(faults.lossRate()))) {
            return;
        }
        queue.put(TimedBytes.receivedNow(frame));
        if (nextBoolean(faults.duplicationRate())) {
            queue.put(TimedBytes.receivedNow(frame));
        }
    }

    private static void write(BlockingQueue<TimedBytes> queue, Socket socket, LinkFaults faults) {
        try {
            OutputStream out = socket.getOutputStream();
            while (!socket.isClosed()) {
                TimedBytes frame = queue.poll(100, TimeUnit.MILLISECONDS);
                if (frame == null) {
                    continue;
                }
                while (faults.isHeld() || EventJournal.nowUs() < frame.receivedUs() + faults.delayUs()) {
                    Thread.sleep(1);
                }
                long bytesPerSecond = faults.bytesPerSecond();
                if (bytesPerSecond > 0) {
                    Thread.sleep(frame.length() * 1000L / bytesPerSecond);
                }
                if (!faults.isPartitioned()) {
                    out.write(frame.bytes());
                    out.flush();
                }
            }
        } catch (IOException e) {
            Closeables.closeQuietly(socket);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Resets the connections that these members have opened to the target (TCP RST instead of FIN). */
    void reset(Set<String> members) {
        for (Map.Entry<Socket, String> peer : new HashSet<>(peers.entrySet())) {
            if (members.contains(peer.getValue())) {
                try {
                    peer.getKey().setSoLinger(true, 0);
                } catch (IOException e) {
                    // The connection has already ended.
                }
                Closeables.closeQuietly(peer.getKey());
            }
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
