package hopdrum.rig.trial;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A stand-in for one HTTP service of the platform, on loopback: one thread a connection, one request after another. */
final class HttpStandIn implements AutoCloseable {
    private static final int BACKLOG = 512;

    /** One request; its body is read and dropped. */
    record Request(String method, String path, String head) {
        /** A header field; empty if absent. */
        String header(String name) {
            for (String line : head.split("\r\n", -1)) {
                if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
                    return line.substring(name.length() + 1).strip();
                }
            }
            return "";
        }
    }

    /** Answers requests; called by many threads. */
    interface Handler {
        /** Writes an answer, or none; may wait. The connection ends if it throws. */
        void handle(Request request, OutputStream out) throws IOException, InterruptedException;
    }

    private final LoopbackListener listener;
    private final Handler handler;

    HttpStandIn(String name, Handler handler) throws IOException {
        this.handler = handler;
        this.listener = new LoopbackListener(BACKLOG);
        listener.start(name, this::serve);
    }

    int port() {
        return listener.port();
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String head = readHead(in); head != null; head = readHead(in)) {
                String[] requestLine = head.substring(0, head.indexOf('\r')).split(" ", -1);
                Request request = new Request(requestLine[0], requestLine[1], head);
                String length = request.header("Content-Length");
                in.skipNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
                handler.handle(request, socket.getOutputStream());
            }
        } catch (IOException e) {
            // the peer has ended the connection
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            listener.untrack(socket);
        }
    }

    /** Null at the end of the connection. */
    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            head.append((char) next);
            if (head.length() >= 4 && head.substring(head.length() - 4).equals("\r\n\r\n")) {
                return head.toString();
            }
        }
        return null;
    }

    static void writeOk(OutputStream out, String body) throws IOException {
        out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    void closeConnections() {
        listener.closeConnections();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
