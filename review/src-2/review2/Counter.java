package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.Map;

/** The shared counter: answers each call at once, in order. */
final class Counter extends Listener {
    Counter() throws IOException {
        super(new Listener.Handler() {
            private final Map<String, Double> totals = new HashMap<>();

            @Override
            public void handle(java.net.Socket socket) throws Exception {
                var in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
                    String target = call.start().split(" ")[1];
                    String name = target.substring("/v2/numbers/".length(), target.indexOf('?'));
                    double delta =
                            Double.parseDouble(target.substring(target.indexOf("delta=") + 6, target.indexOf('&')));
                    String total;
                    synchronized (totals) {
                        total = String.valueOf(Math.round(totals.merge(name, delta, Double::sum) * 1000) / 1000.0);
                    }
                    out.write(Http.bytes(
                            "HTTP/1.1 200 OK\r\nContent-Length: " + total.length() + "\r\n\r\n" + total));
                }
            }
        });
    }
}
