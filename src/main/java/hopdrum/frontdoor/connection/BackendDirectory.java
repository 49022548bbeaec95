package hopdrum.frontdoor.connection;

import hopdrum.frontdoor.lifecycle.Config;
import hopdrum.host.Endpoint;
import hopdrum.host.ShardOwnership;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The backends by name and by the number that Policy knows them by, with their addresses and connections. An entry
 * goes once discovery has withdrawn it and its last connection is closed.
 */
public final class BackendDirectory {
    private final Map<String, ConnectionPool> byName = new HashMap<>();
    private final Map<Long, ConnectionPool> byNumber = new HashMap<>();
    private final List<String> zones;
    private final List<String> kinds;
    private long next = 1;

    public BackendDirectory(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    public ConnectionPool get(long backend) {
        return byNumber.get(backend);
    }

    public Iterable<ConnectionPool> pools() {
        return byNumber.values();
    }

    /** Makes room for a connection that is needed: the one that has waited longest goes. */
    public void closeLongestIdle() {
        BackendConnection longest = null;
        for (ConnectionPool pool : byNumber.values()) {
            BackendConnection idle = pool.longestIdle();
            if (idle != null && (longest == null || idle.idleSinceUs() < longest.idleSinceUs())) {
                longest = idle;
            }
        }
        if (longest != null) {
            longest.close();
        }
    }

    /** Takes in one message of discovery's; throws IllegalArgumentException, and changes nothing, if it is malformed. */
    public List<Endpoint> take(Map<?, ?> message, boolean whole) {
        if (!(message.get("hosts") instanceof List<?> hosts)) {
            throw new IllegalArgumentException("no list of hosts");
        }
        List<Entry> entries = new ArrayList<>();
        for (Object host : hosts) {
            if (!(host instanceof Map<?, ?> fields)) {
                throw new IllegalArgumentException("a host is no object");
            }
            entries.add(new Entry(fields));
        }
        if (whole) {
            // Only what is not named any more: unlisting closes a backend's idle connections.
            Set<String> named = new HashSet<>();
            entries.forEach(entry -> named.add(entry.name));
            byName.forEach((name, pool) -> pool.listed(named.contains(name) || (pool.isDoor && pool.isListed())));
        }
        List<Endpoint> listed = new ArrayList<>();
        for (Entry entry : entries) {
            ConnectionPool pool =
                    byName.computeIfAbsent(entry.name, name -> new ConnectionPool(next++, entry.address, false));
            byNumber.put(pool.backend, pool);
            pool.moveTo(entry.address);
            pool.told(entry.state);
            listed.add(new Endpoint(
                    pool.backend,
                    Math.max(0, zones.indexOf(entry.zone)),
                    Math.max(0, kinds.indexOf(entry.kind)),
                    entry.cell,
                    entry.state,
                    entry.weight,
                    entry.bornMs * 1000)); // the loop's clock counts from the same moment
        }
        sweep();
        return listed;
    }

    /** The front doors of another tier, all that are there, as backends of their own. */
    public List<Endpoint> partners(int tier, List<ShardOwnership.PartnerEndpoint> doors) {
        String prefix = "tier " + tier + ": "; // no name that discovery gives
        Set<String> named = new HashSet<>();
        List<Endpoint> listed = new ArrayList<>();
        for (ShardOwnership.PartnerEndpoint door : doors) {
            ConnectionPool pool = byName.computeIfAbsent(
                    prefix + door.name(),
                    k -> new ConnectionPool(next++, Config.address("serves", door.address()), true));
            byNumber.put(pool.backend, pool);
            pool.told(Endpoint.State.READY);
            named.add(prefix + door.name());
            listed.add(new Endpoint(
                    pool.backend, Math.max(0, zones.indexOf(door.site())), 0, 0, Endpoint.State.READY, 1, 0));
        }
        byName.forEach(
                (name, pool) -> pool.listed(pool.isListed() && (!name.startsWith(prefix) || named.contains(name))));
        sweep();
        return listed;
    }

    public void sweep() {
        for (Iterator<Map.Entry<String, ConnectionPool>> i = byName.entrySet().iterator(); i.hasNext(); ) {
            ConnectionPool pool = i.next().getValue();
            if (!pool.isListed() && pool.isEmpty()) {
                i.remove();
                byNumber.remove(pool.backend);
            }
        }
    }

    private static final class Entry {
        final String name;
        final InetSocketAddress address;
        final String zone;
        final String kind;
        final int cell;
        final Endpoint.State state;
        final double weight;
        final long bornMs;

        Entry(Map<?, ?> fields) {
            name = text(fields, "host");
            address = Config.address("dial", text(fields, "dial"));
            zone = String.valueOf(fields.get("site"));
            kind = String.valueOf(fields.get("class"));
            cell = (int) number(fields, "block", 0);
            weight = number(fields, "share", 1);
            bornMs = (long) number(fields, "born_ms", 0);
            state = switch (text(fields, "health")) {
                case "in_service" -> Endpoint.State.READY;
                case "terminating" -> Endpoint.State.DRAINING;
                case "terminated" -> Endpoint.State.GONE;
                default -> throw new IllegalArgumentException("unknown health " + fields.get("health"));
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
}
