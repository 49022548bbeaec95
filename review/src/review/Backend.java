package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.ThreadLocalRandom;

/** A sound backend: answers each request after its work with a body that names the request. */
class Backend extends StandIn {
    final String name;
    private final double minWork;
    private final double maxWork;

    Backend(String name, double minWork, double maxWork) throws IOException {
        this.name = name;
        this.minWork = minWork;
        this.maxWork = maxWork;
    }

    @Override
    void serve(Socket socket, InputStream in, OutputStream out) throws IOException, InterruptedException {
        for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
            Rig.note("backend " + name + " runs " + request.field("x-trace-id"));
            requestArrived(request);
            Rig.sleep(ThreadLocalRandom.current().nextDouble(minWork, maxWork));
            out.write(Http.answer(200, "", bodyFor(request.field("x-trace-id"))));
            answered(request, in, out);
        }
    }

    static String bodyFor(String traceId) {
        return "made for " + traceId;
    }

    /** Called when the last byte of a request has been read. */
    void requestArrived(Http.Message request) throws IOException {}

    /** Called when the answer has been written. */
    void answered(Http.Message request, InputStream in, OutputStream out) throws IOException, InterruptedException {}
}
