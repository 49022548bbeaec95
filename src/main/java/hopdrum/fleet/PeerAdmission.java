package hopdrum.fleet;

import hopdrum.fleet.config.FleetFile;
import hopdrum.fleet.message.Message;
import java.util.Optional;

/** Checks whether a peer's hello matches the fleet file. These checks need no knowledge of other members. */
final class PeerAdmission {
    private PeerAdmission() {}

    /**
     * Returns why a peer is rejected, which the peer is told; empty if the fleet, the shards and the operator of its
     * hello match the fleet file.
     */
    static Optional<String> rejectionReason(FleetFile settings, Message.Hello hello) {
        if (!hello.fleet().equals(settings.fleetName())) {
            return Optional.of("another fleet");
        }
        if (hello.shards() != settings.shardCount()
                || (settings.shardCount() > 0 && hello.maxAloneMs() != settings.maxAloneMs())) {
            // The new owner of a shard waits for as long as the former owner may act alone.
            return Optional.of("other shards or most_alone_ms");
        }
        if (!settings.operators().contains(hello.sender().operator())) {
            return Optional.of("an unknown operator");
        }
        return Optional.empty();
    }
}
