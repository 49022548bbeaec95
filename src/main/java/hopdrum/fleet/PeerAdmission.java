package hopdrum.fleet;

import hopdrum.fleet.message.Message;

/** Whether a peer's hello fits this fleet's file: the checks that need no view. */
final class PeerAdmission {
    private PeerAdmission() {}

    /** Null if the hello's fleet, shards and operator match the fleet file, else why the peer is refused. */
    static String objectionToFleet(FleetFile file, Message.Hello hello) {
        if (!hello.fleet().equals(file.fleet())) {
            return "another fleet";
        }
        if (hello.shards() != file.shards() || (file.shards() > 0 && hello.mostAloneMs() != file.mostAloneMs())) {
            return "other shards or most_alone_ms"; // a taker counts the time out that a giver may have
        }
        if (!file.operators().contains(hello.who().operator())) {
            return "an unknown operator";
        }
        return null;
    }
}
