package hopdrum.frontdoor;

import hopdrum.frontdoor.connection.BackendDirectory;
import hopdrum.frontdoor.connection.DiscoveredBackend;
import hopdrum.frontdoor.lifecycle.Log;
import hopdrum.host.Endpoint;
import hopdrum.host.ShardOwnership;
import hopdrum.policy.Policy;
import java.util.List;
import java.util.Map;

/** Applies endpoint lists to the backend directory and passes the resulting endpoints on to Policy. */
final class EndpointUpdater {
    private static final Log LOG = new Log("frontdoor");
    private static final int BACKEND_TIER = 0;
    private static final long NO_VERSION = -1;

    private final BackendDirectory directory;
    private final Policy policy;
    private boolean hasListedBackend;

    EndpointUpdater(BackendDirectory directory, Policy policy) {
        this.directory = directory;
        this.policy = policy;
    }

    /**
     * Applies the endpoint list that the configuration caches, if any.
     *
     * @param cached the list as parsed from JSON; null if there is none
     * @return the list's version; -1 if there is no valid list
     */
    long applyCached(Map<?, ?> cached) {
        if (cached == null || !(cached.get("seq") instanceof Double seq)) {
            return NO_VERSION;
        }
        try {
            List<Endpoint> endpoints = directory.applyEndpointList(DiscoveredBackend.parseList(cached), true);
            policy.endpointsUpdated(BACKEND_TIER, Endpoint.UpdateKind.CACHED, endpoints);
            hasListedBackend = !endpoints.isEmpty();
            return seq.longValue();
        } catch (IllegalArgumentException e) {
            LOG.warning("invalid cached endpoint list", e.getMessage());
            return NO_VERSION;
        }
    }

    /**
     * Applies an endpoint list from discovery.
     *
     * @param backends the listed backends
     * @param complete whether the list names all backends; if not, it names the changed ones
     */
    void applyDiscovered(List<DiscoveredBackend> backends, boolean complete) {
        List<Endpoint> endpoints = directory.applyEndpointList(backends, complete);
        hasListedBackend |= !endpoints.isEmpty();
        if (complete || !endpoints.isEmpty()) {
            policy.endpointsUpdated(
                    BACKEND_TIER, complete ? Endpoint.UpdateKind.COMPLETE : Endpoint.UpdateKind.INCREMENTAL, endpoints);
        }
    }

    /** Applies the complete list of the partner front doors of another tier. */
    void applyPartners(int tier, List<ShardOwnership.PartnerEndpoint> partners) {
        policy.endpointsUpdated(tier, Endpoint.UpdateKind.COMPLETE, directory.applyPartners(tier, partners));
    }

    /** Whether any endpoint list has named a backend so far. */
    boolean hasEndpoints() {
        return hasListedBackend;
    }
}
