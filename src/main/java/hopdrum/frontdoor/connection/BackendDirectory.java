package hopdrum.frontdoor.connection;

import hopdrum.frontdoor.lifecycle.Config;
import hopdrum.host.Endpoint;
import hopdrum.host.ShardOwnership;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The connection pools of all backends, by the backend's name and by the id that Policy uses for it. An entry is
 * removed once the backend has been withdrawn and its last connection is closed.
 */
public final class BackendDirectory {
    private static final long MICROS_PER_MILLI = 1000;
    private final Map<String, ConnectionPool> byName = new HashMap<>();
    private final Map<Long, ConnectionPool> byId = new HashMap<>();
    private final List<String> zones;
    private final List<String> kinds;
    private long nextId = 1;

    /**
     * Creates an empty directory.
     *
     * @param zones the names of the zones, in the order of the settings
     * @param kinds the names of the kinds of backends, in the order of the settings
     */
    public BackendDirectory(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /** The pool of the backend with this id; null if the backend has been removed. */
    public ConnectionPool get(long backendId) {
        return byId.get(backendId);
    }

    /** The pools of all backends. */
    public Iterable<ConnectionPool> pools() {
        return byId.values();
    }

    /** Adds the open connections to all backends to a collection. */
    public void collectConnections(Collection<? super BackendConnection> to) {
        byId.values().forEach(pool -> pool.collectConnections(to));
    }

    /** Closes the connection that has been idle longest, if any, to make room for another one. */
    public void closeLongestIdle() {
        BackendConnection longestIdle = null;
        for (ConnectionPool pool : byId.values()) {
            BackendConnection idle = pool.longestIdle();
            if (idle != null && (longestIdle == null || idle.idleSinceUs() < longestIdle.idleSinceUs())) {
                longestIdle = idle;
            }
        }
        if (longestIdle != null) {
            longestIdle.close();
        }
    }

    /**
     * Applies an endpoint list from discovery.
     *
     * @param backends the backends that the list names
     * @param complete whether the list names all backends, so that all others are withdrawn; otherwise the list names
     *     only those that have changed
     * @return the listed backends as Policy takes them
     */
    public List<Endpoint> applyEndpointList(List<DiscoveredBackend> backends, boolean complete) {
        if (complete) {
            // Backends that are still named must not be withdrawn in between, since that closes their idle connections.
            Set<String> listedNames = new HashSet<>();
            backends.forEach(backend -> listedNames.add(backend.name()));
            byName.forEach((name, pool) ->
                    pool.setListed(listedNames.contains(name) || (pool.isPartner() && pool.isListed())));
        }
        supersedeFormerBackends(backends);
        List<Endpoint> endpoints = new ArrayList<>();
        for (DiscoveredBackend backend : backends) {
            ConnectionPool pool = byName.computeIfAbsent(
                    backend.name(), name -> new ConnectionPool(nextId++, backend.address(), false));
            byId.put(pool.backendId(), pool);
            pool.updateAddress(backend.address());
            pool.updateStart(backend.startedAtMs());
            pool.updateState(backend.state());
            endpoints.add(endpoint(pool.backendId(), backend));
        }
        removeWithdrawn();
        return endpoints;
    }

    /**
     * Marks backends at whose address a list names another one for the first time: their process has gone, whether or
     * not the list says so. Backends that the same list names may share an address.
     */
    private void supersedeFormerBackends(List<DiscoveredBackend> backends) {
        Set<InetSocketAddress> takenOver = new HashSet<>();
        Set<String> named = new HashSet<>();
        for (DiscoveredBackend backend : backends) {
            ConnectionPool known = byName.get(backend.name());
            if (backend.state() == Endpoint.State.READY
                    && (known == null || !known.address().equals(backend.address()))) {
                takenOver.add(backend.address());
            }
            named.add(backend.name());
        }
        byName.forEach((name, pool) -> {
            if (!named.contains(name) && takenOver.contains(pool.address())) {
                pool.supersede();
            }
        });
    }

    private Endpoint endpoint(long backendId, DiscoveredBackend backend) {
        return new Endpoint(
                backendId,
                Math.max(0, zones.indexOf(backend.zone())),
                Math.max(0, kinds.indexOf(backend.kind())),
                backend.cell(),
                backend.state(),
                backend.weight(),
                backend.startedAtMs() * MICROS_PER_MILLI); // the loop's clock counts from the wall clock's epoch
    }

    /**
     * Applies the complete list of the front doors of a partner's tier, which are treated as backends of that tier.
     *
     * @param tier the number of the tier
     * @param partners the tier's front doors
     * @return the listed front doors as Policy takes them
     */
    public List<Endpoint> applyPartners(int tier, List<ShardOwnership.PartnerEndpoint> partners) {
        String prefix = "tier " + tier + ": "; // discovery gives no name with this prefix
        Set<String> listedNames = new HashSet<>();
        List<Endpoint> endpoints = new ArrayList<>();
        for (ShardOwnership.PartnerEndpoint partner : partners) {
            String name = prefix + partner.name();
            ConnectionPool pool = byName.computeIfAbsent(
                    name, key -> new ConnectionPool(nextId++, Config.parseAddress("serves", partner.address()), true));
            byId.put(pool.backendId(), pool);
            pool.updateState(Endpoint.State.READY);
            listedNames.add(name);
            endpoints.add(new Endpoint(
                    pool.backendId(), Math.max(0, zones.indexOf(partner.site())), 0, 0, Endpoint.State.READY, 1, 0));
        }
        byName.forEach((name, pool) ->
                pool.setListed(pool.isListed() && (!name.startsWith(prefix) || listedNames.contains(name))));
        removeWithdrawn();
        return endpoints;
    }

    /** Removes the backends that have been withdrawn and have no open connection. */
    public void removeWithdrawn() {
        byName.values().removeIf(pool -> {
            boolean unused = !pool.isListed() && pool.isEmpty();
            if (unused) {
                byId.remove(pool.backendId());
            }
            return unused;
        });
    }
}
