package hopdrum.rig.trial;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A neighbour of the front doors on loopback: one thread a connection, one request after another. */
class HttpStandIn implements AutoCloseable {
    /** One request; body bytes are read and dropped. */
    record Request(String method, String path, String head) {
        String field(String name) {
            for (String line : head.split("\r\n")) {
                if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
                    return line.substring(name.length() + 1).strip();
                }
            }
            return "";
        }
    }

    /** Writes an answer, or none; may wait. */
    interface Answers {
        void answer(Request request, OutputStream to) throws IOException, InterruptedException;
    }

    private final ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    HttpStandIn(String name, Answers answers) throws IOException {
        listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
        Threads.start(name, () -> {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    open.add(socket);
                    Threads.start(name + "-connection", () -> serve(socket, answers));
                } catch (IOException e) {
                    // closed: the loop ends
                }
            }
        });
    }

    int port() {
        return listener.getLocalPort();
    }

    private void serve(Socket socket, Answers answers) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String head = head(in); head != null; head = head(in)) {
                String[] first = head.substring(0, head.indexOf('\r')).split(" ");
                Request request = new Request(first[0], first[1], head);
                String length = request.field("Content-Length");
                in.skipNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
                answers.answer(request, socket.getOutputStream());
            }
        } catch (IOException e) {
            // the other side has ended it
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(socket);
        }
    }

    /** Null at the end. */
    private static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            head.append((char) b);
            if (head.length() >= 4 && head.substring(head.length() - 4).equals("\r\n\r\n")) {
                return head.toString();
            }
        }
        return null;
    }

    static void ok(OutputStream to, String body) throws IOException {
        to.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII));
        to.flush();
    }

    void reset() {
        open.forEach(Quiet::close);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        reset();
    }
}
