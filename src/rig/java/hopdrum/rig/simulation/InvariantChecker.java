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
 * Checks the invariants of a fleet at each step of a simulation: an era and a number identify one view; within an era,
 * the view number of a process never decreases; the quota claims of an operator's members never add up to more than its
 * quota; and no shard has two owners.
 */
final class InvariantChecker {
    private static final double ROUNDING_TOLERANCE = 1e-9;

    /** The ID of the last view that a node was seen with. */
    private record ViewId(long era, long number) {
        static final ViewId NONE = new ViewId(0, 0);
    }

    private final SimulatedClock clock;
    private final Collection<SimulatedNode> nodes;
    private final int shardCount;
    private final List<String> violations = new ArrayList<>();
    private final Map<ViewId, String> contentById = new HashMap<>();
    private final Map<String, ViewId> lastViewByNode = new HashMap<>();
    private final Map<Integer, Long> lastOwnedUsByShard = new HashMap<>();
    private long longestOwnerlessUs;

    InvariantChecker(SimulatedClock clock, Collection<SimulatedNode> nodes, int shardCount) {
        this.clock = clock;
        this.nodes = nodes;
        this.shardCount = shardCount;
    }

    /** Returns the violations so far: each with its time, invariant and details; empty for none. */
    List<String> violations() {
        return Collections.unmodifiableList(violations);
    }

    /**
     * Returns the longest time that any shard has been without an owner since the last reset, in microseconds. The time
     * before a shard's first owner does not count.
     */
    long longestOwnerlessUs() {
        return longestOwnerlessUs;
    }

    /** Sets {@link #longestOwnerlessUs()} to zero. */
    void resetLongestOwnerless() {
        longestOwnerlessUs = 0;
    }

    private void addViolation(String description) {
        violations.add(clock.nowUs() + " " + description);
    }

    /** Forgets the last view of a node at which a new process starts. */
    void forgetLastView(SimulatedNode node) {
        lastViewByNode.remove(node.name());
    }

    /** Checks the view that the node's process holds, if the view has changed since the last check. */
    void checkView(SimulatedNode node) {
        View view = node.view();
        ViewId lastId = lastViewByNode.getOrDefault(node.name(), ViewId.NONE);
        if (view.era() == lastId.era && view.number() == lastId.number) {
            return;
        }
        if (view.era() == lastId.era && view.number() < lastId.number) {
            addViolation("order: the view of " + node.name() + " went back to number " + view.number());
        }
        ViewId id = new ViewId(view.era(), view.number());
        lastViewByNode.put(node.name(), id);
        String content = view.members() + " " + view.shardAssignment();
        String earlier = contentById.putIfAbsent(id, content);
        if (earlier != null && !earlier.equals(content)) {
            addViolation("one-view: view " + view.era() + "/" + view.number() + " has other content at " + node.name());
        }
    }

    /** Checks that the members of an operator claim no more than its whole quota between them at this moment. */
    void checkClaims() {
        long nowUs = clock.nowUs();
        Map<String, Double> sums = new TreeMap<>();
        for (SimulatedNode node : nodes) {
            if (node.isClaimingQuota(nowUs)) {
                sums.merge(node.operator(), 1.0 / node.maxLiveOperatorMembers(nowUs), Double::sum);
            }
        }
        sums.forEach((operator, sum) -> {
            if (sum > 1 + ROUNDING_TOLERANCE) {
                addViolation("claims: the members of an operator claim " + sum + " of its quota");
            }
        });
    }

    /** Checks that no two operators act on the same shard at this moment; also measures the time without an owner. */
    void checkOwners() {
        if (shardCount == 0) {
            return;
        }
        long nowUs = clock.nowUs();
        String[] owners = new String[shardCount];
        for (SimulatedNode node : nodes) {
            node.refreshShardTable(nowUs);
            BitSet activeShards = node.activeShards(nowUs);
            for (int shard = activeShards.nextSetBit(0); shard >= 0; shard = activeShards.nextSetBit(shard + 1)) {
                if (owners[shard] != null && !owners[shard].equals(node.operator())) {
                    addViolation("one-owner: shard " + shard + " is owned by both " + owners[shard] + " and "
                            + node.operator());
                }
                owners[shard] = node.operator();
            }
        }
        for (int shard = 0; shard < shardCount; shard++) {
            if (owners[shard] != null) {
                lastOwnedUsByShard.put(shard, nowUs);
            } else if (lastOwnedUsByShard.containsKey(shard)) {
                longestOwnerlessUs = Math.max(longestOwnerlessUs, nowUs - lastOwnedUsByShard.get(shard));
            }
        }
    }
}
