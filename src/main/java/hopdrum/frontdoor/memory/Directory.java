package hopdrum.frontdoor.memory;

import hopdrum.frontdoor.lifecycle.Config;
import hopdrum.host.Listed;
import hopdrum.host.Shards;
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
public final class Directory {
    private final Map<String, Pool> byName = new HashMap<>();
    private final Map<Long, Pool> byNumber = new HashMap<>();
    private final List<String> zones;
    private final List<String> kinds;
    private long next = 1;

    public Directory(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    public Pool get(long backend) {
        return byNumber.get(backend);
    }

    public Iterable<Pool> pools() {
        return byNumber.values();
    }

    /** Makes room for a connection that is needed: the one that has waited longest goes. */
    public void closeLongestIdle() {
        BackendConnection longest = null;
        for (Pool pool : byNumber.values()) {
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
    public List<Listed> take(Map<?, ?> message, boolean whole) {
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
            byName.forEach((name, pool) -> pool.listed(named.contains(name) || pool.isDoor && pool.isListed()));
        }
        List<Listed> listed = new ArrayList<>();
        for (Entry entry : entries) {
            Pool pool = byName.computeIfAbsent(entry.name, name -> new Pool(next++, entry.address, false));
            byNumber.put(pool.backend, pool);
            pool.moveTo(entry.address);
            pool.told(entry.state);
            listed.add(new Listed(
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
    public List<Listed> partners(int tier, List<Shards.Door> doors) {
        String prefix = "tier " + tier + ": "; // no name that discovery gives
        Set<String> named = new HashSet<>();
        List<Listed> listed = new ArrayList<>();
        for (Shards.Door door : doors) {
            Pool pool = byName.computeIfAbsent(
                    prefix + door.name(), k -> new Pool(next++, Config.address("serves", door.address()), true));
            byNumber.put(pool.backend, pool);
            pool.told(Listed.State.READY);
            named.add(prefix + door.name());
            listed.add(
                    new Listed(pool.backend, Math.max(0, zones.indexOf(door.site())), 0, 0, Listed.State.READY, 1, 0));
        }
        byName.forEach(
                (name, pool) -> pool.listed(pool.isListed() && (!name.startsWith(prefix) || named.contains(name))));
        sweep();
        return listed;
    }

    public void sweep() {
        for (Iterator<Map.Entry<String, Pool>> i = byName.entrySet().iterator(); i.hasNext(); ) {
            Pool pool = i.next().getValue();
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
        final Listed.State state;
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
                case "in_service" -> Listed.State.READY;
                case "terminating" -> Listed.State.DRAINING;
                case "terminated" -> Listed.State.GONE;
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
