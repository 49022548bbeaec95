package hopdrum.frontdoor.memory;

import java.util.HashMap;
import java.util.Map;

/** The RPCs under way, by the numbers that Policy knows them by. An entry goes when Policy says that it is over. */
public final class Rpcs {
    private final Map<Long, OpenRpc> open = new HashMap<>();
    private long next = 1;

    public OpenRpc open(ClientConnection client) {
        OpenRpc rpc = new OpenRpc(next++, client);
        open.put(rpc.id, rpc);
        return rpc;
    }

    public OpenRpc get(long id) {
        return open.get(id);
    }

    public void closeIfOver(OpenRpc rpc) {
        if (rpc.handle.over()) {
            open.remove(rpc.id);
        }
    }

    /** The number was given out and Policy never took the RPC. */
    public void drop(OpenRpc rpc) {
        open.remove(rpc.id);
    }

    public int size() {
        return open.size();
    }
}
