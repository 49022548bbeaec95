package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Arrays;

/** A network path to a stand-in: passes bytes on in both directions, each piece after the same time. */
final class DelayLine extends StandIn {
    private final String target;
    private final long oneWayNanos;

    DelayLine(String target, double oneWaySeconds) throws IOException {
        this.target = target;
        this.oneWayNanos = (long) (oneWaySeconds * 1e9);
    }

    @Override
    void serve(Socket socket, InputStream in, OutputStream out) throws IOException {
        try (Socket far = connect(target)) {
            Rig.thread("back to front", () -> pass(far, socket));
            pass(socket, far);
        }
    }

    private static Socket connect(String address) throws IOException {
        int colon = address.indexOf(':');
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(
                InetAddress.getByName(address.substring(0, colon)), Integer.parseInt(address.substring(colon + 1))));
        socket.setTcpNoDelay(true);
        return socket;
    }

    private void pass(Socket from, Socket to) {
        byte[] buffer = new byte[64 << 10];
        try (to) {
            InputStream in = from.getInputStream();
            for (int count = in.read(buffer); count > 0; count = in.read(buffer)) {
                long due = System.nanoTime() + oneWayNanos;
                while (System.nanoTime() < due) {
                    Thread.onSpinWait(); // sleeping would take longer than asked for
                }
                to.getOutputStream().write(buffer, 0, count);
            }
        } catch (IOException e) {
            // One end has gone; closing tells the other side.
        }
    }

    /** The way that a path of this kind really takes, in milliseconds: half of the median round trip of one byte. */
    static double measureMs(double oneWaySeconds) throws IOException {
        try (StandIn echo = new Echo();
                DelayLine path = new DelayLine(echo.address(), oneWaySeconds)) {
            echo.start();
            path.start();
            long[] nanos = new long[1000];
            try (Socket socket = connect(path.address())) {
                for (int i = 0; i < nanos.length; i++) {
                    long sentAt = System.nanoTime();
                    socket.getOutputStream().write(1);
                    socket.getInputStream().read();
                    nanos[i] = System.nanoTime() - sentAt;
                }
            }
            Arrays.sort(nanos);
            return nanos[nanos.length / 2] / 2e6;
        }
    }

    private static final class Echo extends StandIn {
        Echo() throws IOException {}

        @Override
        void serve(Socket socket, InputStream in, OutputStream out) throws IOException {
            for (int next = in.read(); next >= 0; next = in.read()) {
                out.write(next);
            }
        }
    }
}
