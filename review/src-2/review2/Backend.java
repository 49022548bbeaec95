package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;

/** A backend, which starts on a request once its last byte has arrived. */
final class Backend extends Listener {
    interface Behaviour {
        /** Answers a request. Returns whether the connection stays open. */
        boolean answer(Http.Message request, Socket socket, OutputStream out) throws Exception;
    }

    Backend(Behaviour behaviour) throws IOException {
        super(socket -> {
            var in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                if (!behaviour.answer(request, socket, out)) {
                    return;
                }
            }
        });
    }

    static void ok(OutputStream out, String body) throws IOException {
        out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
    }
}
