package hopdrum.frontdoor;

import hopdrum.frontdoor.connection.BackendDirectory;
import hopdrum.frontdoor.connection.DiscoveredBackend;
import hopdrum.frontdoor.lifecycle.Log;
import hopdrum.host.Endpoint;
import hopdrum.host.ShardOwnership;
import hopdrum.policy.Policy;
import java.util.List;
import java.util.Map;

/** Applies endpoint lists to the directory of backends and notifies Policy of them. */
final class EndpointUpdater {
    private static final Log LOG = new Log("frontdoor");
    private static final int BACKEND_TIER = 0;
    private static final long NO_VERSION = -1;

    private final BackendDirectory directory;
    private final Policy policy;
    private boolean anyListed;

    EndpointUpdater(BackendDirectory directory, Policy policy) {
        this.directory = directory;
        this.policy = policy;
    }

    /**
     * Applies the list that the configuration caches, if any.
     *
     * @param cached the list as parsed from JSON; null without one
     * @return the list's version; -1 without a usable list
     */
    long applyCached(Map<?, ?> cached) {
        if (cached == null || !(cached.get("seq") instanceof Double seq)) {
            return NO_VERSION;
        }
        try {
            List<Endpoint> endpoints = directory.applyEndpointList(DiscoveredBackend.parseList(cached), true);
            policy.endpointsUpdated(BACKEND_TIER, Endpoint.UpdateKind.CACHED, endpoints);
            anyListed = !endpoints.isEmpty();
            return seq.longValue();
        } catch (IllegalArgumentException e) {
            LOG.warning("the cached endpoint list cannot be read", e.getMessage());
            return NO_VERSION;
        }
    }

    /** Applies a list of discovery's: all backends if it is complete, else changes. */
    void applyDiscovered(List<DiscoveredBackend> backends, boolean complete) {
        List<Endpoint> endpoints = directory.applyEndpointList(backends, complete);
        anyListed |= !endpoints.isEmpty();
        if (complete || !endpoints.isEmpty()) {
            policy.endpointsUpdated(
                    BACKEND_TIER, complete ? Endpoint.UpdateKind.COMPLETE : Endpoint.UpdateKind.INCREMENTAL, endpoints);
        }
    }

    /** Applies the complete list of another tier's front doors. */
    void applyPartners(int tier, List<ShardOwnership.PartnerEndpoint> partners) {
        policy.endpointsUpdated(tier, Endpoint.UpdateKind.COMPLETE, directory.applyPartners(tier, partners));
    }

    /** Whether any list has named a backend so far. */
    boolean hasEndpoints() {
        return anyListed;
    }
}
