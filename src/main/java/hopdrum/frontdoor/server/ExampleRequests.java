package hopdrum.frontdoor.server;

import static hopdrum.frontdoor.wire.Ascii.ascii;

import hopdrum.frontdoor.lifecycle.Config;
import hopdrum.host.Method;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Example client requests that fit a configuration, for the warm-up and the training run. */
final class ExampleRequests {
    private static final int CUSTOMER_COUNT = 10;
    private static final byte[] READINESS_CHECK = ascii("GET /health/ready HTTP/1.1\r\n\r\n");

    private ExampleRequests() {}

    /** Returns one request for each combination of method, plan and a few customers. */
    static List<byte[]> forAllMethodsAndPlans(Config config) {
        List<byte[]> requests = new ArrayList<>();
        for (int customer = 0; customer < CUSTOMER_COUNT; customer++) {
            for (int plan = 0; plan < config.plans().size(); plan++) {
                for (String method : config.methods()) {
                    requests.add(request(config, method, plan, customer));
                }
            }
        }
        return requests;
    }

    private static byte[] request(Config config, String method, int plan, int customer) {
        boolean isGet = config.settings()
                        .methods()
                        .get(config.methods().indexOf(method))
                        .retrySafety()
                == Method.RetrySafety.IDEMPOTENT;
        return ascii((isGet ? "GET" : "POST")
                + " /api HTTP/1.1\r\nHost: backend\r\nX-Trace-Id: 9b1f03aa5c7e2d41\r\nX-Qos: "
                + method + "\r\nPlan: " + config.plans().get(plan) + "\r\nCookie: key=00000000000000"
                + (char) ('0' + customer) + (char) ('0' + plan % 10)
                + "\r\nX-Expires-In-Ms: 2000\r\nIdempotency-Key: 5c0f6e1a\r\n"
                + (isGet ? "" : "Content-Length: 8\r\n")
                + "Quota-Info: units=1,spread=1,first=0\r\n\r\n" + (isGet ? "" : "12345678"));
    }

    /** Returns a readiness check and one request, pipelined. */
    static byte[] readinessCheckAndRequest(Config config) {
        byte[] request = forAllMethodsAndPlans(config).get(0);
        byte[] pipelined = Arrays.copyOf(READINESS_CHECK, READINESS_CHECK.length + request.length);
        System.arraycopy(request, 0, pipelined, READINESS_CHECK.length, request.length);
        return pipelined;
    }
}
