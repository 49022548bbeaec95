package hopdrum.rig.trial;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A stand-in for one HTTP service of the platform, on loopback. Each connection has a thread, which handles one request
 * after another.
 */
public final class HttpStandIn implements AutoCloseable {
    private static final int BACKLOG = 512;

    /**
     * One request without its body, which is discarded.
     *
     * @param method the HTTP method
     * @param path the request target, with its query
     * @param head the request line and the header, up to and including the empty line
     */
    public record Request(String method, String path, String head) {
        /** Returns the value of a header field, whose name is compared without case; empty if the field is absent. */
        public String header(String name) {
            for (String line : head.split("\r\n", -1)) {
                if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
                    return line.substring(name.length() + 1).strip();
                }
            }
            return "";
        }
    }

    /** Responds to requests; called by several threads at once. */
    public interface Handler {
        /**
         * Writes the response to a request; may block.
         *
         * @throws IOException to close the connection
         * @throws InterruptedException if the thread is interrupted, which closes the connection as well
         */
        void handle(Request request, OutputStream out) throws IOException, InterruptedException;
    }

    private final LoopbackListener listener;
    private final Handler handler;

    /**
     * Starts a service on a free port.
     *
     * @param name the name of the service's threads
     * @throws IOException if no port can be opened
     */
    public HttpStandIn(String name, Handler handler) throws IOException {
        this.handler = handler;
        this.listener = new LoopbackListener(BACKLOG);
        listener.start(name, this::serve);
    }

    /** Returns the loopback port on which the service accepts connections. */
    public int port() {
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
            // The peer has ended the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            listener.untrack(socket);
        }
    }

    /** Reads a request's head, including the empty line at its end; null if the connection ends before. */
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

    /**
     * Writes a response with status 200 and an ASCII body.
     *
     * @throws IOException if the response cannot be written
     */
    public static void writeOk(OutputStream out, String body) throws IOException {
        out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    /** Closes all open connections; the service accepts further ones. */
    void closeConnections() {
        listener.closeConnections();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
