package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** A network path to a stand-in: passes bytes on in both directions, each after the same time. */
final class DelayLine extends StandIn {
    private record Piece(long dueNanos, byte[] bytes) {}

    private final String target;
    private final double oneWaySeconds;

    DelayLine(String target, double oneWaySeconds) throws IOException {
        this.target = target;
        this.oneWaySeconds = oneWaySeconds;
    }

    @Override
    void serve(Socket socket, InputStream in, OutputStream out) throws IOException {
        try (Socket far = new Socket()) {
            int colon = target.indexOf(':');
            far.connect(new InetSocketAddress(
                    InetAddress.getByName(target.substring(0, colon)), Integer.parseInt(target.substring(colon + 1))));
            far.setTcpNoDelay(true);
            Rig.thread("back to front", () -> pass(far, socket));
            pass(socket, far);
        }
    }

    private void pass(Socket from, Socket to) {
        BlockingQueue<Piece> pieces = new LinkedBlockingQueue<>();
        Rig.thread("delay", () -> write(pieces, to));
        byte[] buffer = new byte[64 << 10];
        try {
            for (int count = from.getInputStream().read(buffer); count > 0; count = from.getInputStream().read(buffer)) {
                pieces.add(new Piece(due(), java.util.Arrays.copyOf(buffer, count)));
            }
        } catch (IOException e) {
            // Ends below, as at the end of the stream.
        }
        pieces.add(new Piece(due(), new byte[0]));
    }

    private long due() {
        return System.nanoTime() + (long) (oneWaySeconds * 1e9);
    }

    private static void write(BlockingQueue<Piece> pieces, Socket to) {
        try (to) {
            for (Piece piece = pieces.take(); piece.bytes.length > 0; piece = pieces.take()) {
                Rig.sleep((piece.dueNanos - System.nanoTime()) / 1e9);
                to.getOutputStream().write(piece.bytes);
            }
        } catch (IOException | InterruptedException e) {
            // The other end has gone; closing tells the other side.
        }
    }
}
