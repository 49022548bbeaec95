package hopdrum.fleet;

import hopdrum.fleet.config.FleetFile;
import hopdrum.fleet.message.Message;
import java.util.Optional;

/** Whether a peer's hello matches this fleet's file: the admission checks that need no view. */
final class PeerAdmission {
    private PeerAdmission() {}

    /** Why the peer is rejected; empty if the hello's fleet, shards and operator match the fleet file. */
    static Optional<String> rejectionReason(FleetFile file, Message.Hello hello) {
        if (!hello.fleet().equals(file.fleetName())) {
            return Optional.of("another fleet");
        }
        if (hello.shards() != file.shardCount() || (file.shardCount() > 0 && hello.maxAloneMs() != file.maxAloneMs())) {
            return Optional.of("other shards or most_alone_ms"); // receivers wait for as long as former owners may act
        }
        if (!file.operators().contains(hello.sender().operator())) {
            return Optional.of("an unknown operator");
        }
        return Optional.empty();
    }
}
