package hopdrum.rig.simulation;

import hopdrum.fleet.message.View;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks at each step what must always hold: no era and number name two views, numbers at one start never fall, claims
 * of one operator never add up to more than the whole, and no shard has two owners.
 */
final class InvariantChecker {
    private static final double ROUNDING = 1e-9;

    /** The name of the last view that a node was seen with. */
    private record ViewName(long era, long number) {
        static final ViewName NONE = new ViewName(0, 0);
    }

    private final SimulatedClock clock;
    private final Collection<SimulatedNode> nodes;
    private final int shards;
    private final List<String> violations = new ArrayList<>();
    private final Map<ViewName, String> contents = new HashMap<>();
    private final Map<String, ViewName> lastViews = new HashMap<>();
    private final Map<Integer, Long> lastOwnedUs = new HashMap<>();
    private long longestOwnerlessUs;

    InvariantChecker(SimulatedClock clock, Collection<SimulatedNode> nodes, int shards) {
        this.clock = clock;
        this.nodes = nodes;
        this.shards = shards;
    }

    /** What was violated so far, a sentence with its time each. */
    List<String> violations() {
        return Collections.unmodifiableList(violations);
    }

    /** The longest time that a shard had no owner, after its first. */
    long longestOwnerlessUs() {
        return longestOwnerlessUs;
    }

    void resetLongestOwnerless() {
        longestOwnerlessUs = 0;
    }

    private void violated(String what) {
        violations.add(clock.nowUs() + " " + what);
    }

    /** Forgets which view the node held: a new process of it starts. */
    void restarted(SimulatedNode node) {
        lastViews.remove(node.name());
    }

    void checkView(SimulatedNode node) {
        View view = node.view();
        ViewName last = lastViews.getOrDefault(node.name(), ViewName.NONE);
        if (view.era() == last.era && view.number() == last.number) {
            return;
        }
        if (view.era() == last.era && view.number() < last.number) {
            violated("order: " + node.name() + " went back to " + view.number());
        }
        ViewName name = new ViewName(view.era(), view.number());
        lastViews.put(node.name(), name);
        String content = view.members() + " " + view.shardAssignment();
        String before = contents.putIfAbsent(name, content);
        if (before != null && !before.equals(content)) {
            violated("one-name-one-view: " + view.era() + "/" + view.number() + " at " + node.name());
        }
    }

    /** What all may claim of one operator's quota at this moment is the whole of it at most. */
    void checkClaims() {
        long nowUs = clock.nowUs();
        Map<String, Double> sums = new TreeMap<>();
        for (SimulatedNode node : nodes) {
            if (node.isClaiming(nowUs)) {
                sums.merge(node.operator(), 1.0 / node.largestLiveTier(nowUs), Double::sum);
            }
        }
        sums.forEach((operator, sum) -> {
            if (sum > 1 + ROUNDING) {
                violated("claims: " + sum + " of the whole");
            }
        });
    }

    /** No two operators act on one shard at this moment. */
    void checkOwners() {
        if (shards == 0) {
            return;
        }
        long nowUs = clock.nowUs();
        String[] owners = new String[shards];
        for (SimulatedNode node : nodes) {
            node.refreshShardTable(nowUs);
            BitSet acting = node.actingShards(nowUs);
            for (int shard = acting.nextSetBit(0); shard >= 0; shard = acting.nextSetBit(shard + 1)) {
                if (owners[shard] != null && !owners[shard].equals(node.operator())) {
                    violated("one-owner: " + shard + " has " + owners[shard] + " and " + node.operator());
                }
                owners[shard] = node.operator();
            }
        }
        for (int shard = 0; shard < shards; shard++) {
            if (owners[shard] != null) {
                lastOwnedUs.put(shard, nowUs);
            } else if (lastOwnedUs.containsKey(shard)) {
                longestOwnerlessUs = Math.max(longestOwnerlessUs, nowUs - lastOwnedUs.get(shard));
            }
        }
    }
}
