package hopdrum.frontdoor.connection;

import hopdrum.frontdoor.lifecycle.Config;
import hopdrum.host.Endpoint;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A backend in an endpoint list from discovery or from the configuration.
 *
 * @param name the backend's name, by which later lists refer to it
 * @param address the address on which the backend accepts requests
 * @param zone the name of the backend's zone
 * @param kind the name of the kind of backend
 * @param cell the number of the backend's cell
 * @param weight the backend's share of the requests among the backends of its kind
 * @param startedAtMs when the backend started, in milliseconds of the wall clock; 0 means long ago
 * @param state whether the backend is ready, draining or gone
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
     * @return the backends, in the order of the list
     * @throws IllegalArgumentException if the list is malformed; the message names the field at fault
     */
    public static List<DiscoveredBackend> parseList(Map<?, ?> message) {
        if (!(message.get("hosts") instanceof List<?> hosts)) {
            throw new IllegalArgumentException("the endpoint list has no list of hosts");
        }
        List<DiscoveredBackend> backends = new ArrayList<>();
        for (Object host : hosts) {
            if (!(host instanceof Map<?, ?> fields)) {
                throw new IllegalArgumentException("a host in the endpoint list is not an object");
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
            default -> throw new IllegalArgumentException("a host has the unknown health " + health);
        };
    }

    private static String text(Map<?, ?> fields, String key) {
        if (fields.get(key) instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new IllegalArgumentException("a host in the endpoint list lacks " + key);
    }

    private static double number(Map<?, ?> fields, String key, double defaultValue) {
        Object value = fields.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Double number) {
            return number;
        }
        throw new IllegalArgumentException(
                "a host in the endpoint list has a value for " + key + " that is not a number");
    }
}
