package hopdrum.frontdoor.server;

import static hopdrum.frontdoor.wire.Ascii.ascii;

import hopdrum.frontdoor.lifecycle.Config;
import hopdrum.host.Method;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Requests as clients of a configuration would write them, for the warm-up and the training run. */
final class ExampleRequests {
    private static final int CUSTOMERS = 10;
    private static final byte[] READINESS_CHECK = ascii("GET /health/ready HTTP/1.1\r\n\r\n");

    private ExampleRequests() {}

    /** One RPC of each method and plan, from a few customers each. */
    static List<byte[]> rpcs(Config config) {
        List<byte[]> rpcs = new ArrayList<>();
        for (int customer = 0; customer < CUSTOMERS; customer++) {
            for (int plan = 0; plan < config.plans().size(); plan++) {
                for (String method : config.methods()) {
                    rpcs.add(rpc(config, method, plan, customer));
                }
            }
        }
        return rpcs;
    }

    private static byte[] rpc(Config config, String method, int plan, int customer) {
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

    /** A readiness check and one RPC, one after the other. */
    static byte[] readinessCheckAndRpc(Config config) {
        byte[] rpc = rpcs(config).get(0);
        byte[] both = Arrays.copyOf(READINESS_CHECK, READINESS_CHECK.length + rpc.length);
        System.arraycopy(rpc, 0, both, READINESS_CHECK.length, rpc.length);
        return both;
    }
}
