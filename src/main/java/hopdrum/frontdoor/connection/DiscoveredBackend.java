package hopdrum.frontdoor.connection;

import hopdrum.frontdoor.lifecycle.Config;
import hopdrum.host.Endpoint;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * One backend of an endpoint list, as discovery or the configuration gives it.
 *
 * @param name its name, by which later lists refer to it
 * @param address where it takes requests
 * @param zone the name of its zone
 * @param kind the name of its kind of machine
 * @param cell the number of its cell
 * @param weight its share of the requests among backends of its kind
 * @param startedAtMs when it started, milliseconds of the wall clock; 0 means long ago
 * @param state whether it is ready, draining or gone
 */
public record DiscoveredBackend(
        String name,
        InetSocketAddress address,
        String zone,
        String kind,
        int cell,
        double weight,
        long startedAtMs,
        Endpoint.State state) {

    /**
     * Reads the backends of an endpoint list.
     *
     * @param message the list as parsed from JSON
     * @throws IllegalArgumentException if any of it is malformed; its message names the field
     */
    public static List<DiscoveredBackend> parseList(Map<?, ?> message) {
        if (!(message.get("hosts") instanceof List<?> hosts)) {
            throw new IllegalArgumentException("no list of hosts");
        }
        List<DiscoveredBackend> backends = new ArrayList<>();
        for (Object host : hosts) {
            if (!(host instanceof Map<?, ?> fields)) {
                throw new IllegalArgumentException("a host is no object");
            }
            backends.add(parse(fields));
        }
        return backends;
    }

    private static DiscoveredBackend parse(Map<?, ?> fields) {
        return new DiscoveredBackend(
                text(fields, "host"),
                Config.parseAddress("dial", text(fields, "dial")),
                String.valueOf(fields.get("site")),
                String.valueOf(fields.get("class")),
                (int) number(fields, "block", 0),
                number(fields, "share", 1),
                (long) number(fields, "born_ms", 0),
                state(text(fields, "health")));
    }

    private static Endpoint.State state(String health) {
        return switch (health) {
            case "in_service" -> Endpoint.State.READY;
            case "terminating" -> Endpoint.State.DRAINING;
            case "terminated" -> Endpoint.State.GONE;
            default -> throw new IllegalArgumentException("unknown health " + health);
        };
    }

    private static String text(Map<?, ?> fields, String key) {
        if (fields.get(key) instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new IllegalArgumentException("a host without " + key);
    }

    private static double number(Map<?, ?> fields, String key, double absent) {
        Object value = fields.get(key);
        if (value == null) {
            return absent;
        }
        if (value instanceof Double number) {
            return number;
        }
        throw new IllegalArgumentException("a host whose " + key + " is no number");
    }
}
