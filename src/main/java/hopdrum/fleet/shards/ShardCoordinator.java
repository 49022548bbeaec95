package hopdrum.fleet.shards;

import hopdrum.fleet.message.AgreementProposal;
import hopdrum.fleet.message.GossipUpdate.State;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import hopdrum.fleet.message.ShardAssignment;
import hopdrum.fleet.message.ShardAssignment.Move;
import hopdrum.fleet.message.View;
import hopdrum.fleet.view.DecisionLog;
import hopdrum.fleet.view.FailureDetector;
import hopdrum.fleet.view.FleetTiming;
import hopdrum.fleet.view.MessageSender;
import hopdrum.fleet.view.ShardProtocol;
import hopdrum.fleet.view.ViewLease;
import hopdrum.host.ShardOwnership;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongSupplier;

/**
 * One member's part in sharing customers with partners. The coordinator negotiates agreements if the member represents
 * its operator, assigns shards in each view that the member proposes, and publishes on which shards this front door may
 * act. Not thread-safe. Times are microseconds of one monotonic clock, except that agreements use the wall clock.
 */
public final class ShardCoordinator implements ShardProtocol {
    private static final int PROPOSAL_FANOUT = 3; // messages in each probe period, each to a random peer
    private static final int HAND_OVER_REPEAT_PERIODS = 5;
    private static final int RECEIVER_NOTICE_PERIODS = 3;

    private final Member self;
    private final FleetTiming timing;
    private final ShardAssignmentRule assignmentRule;
    private final SplittableRandom random;
    private final MessageSender sender;
    private final DecisionLog log;
    private final LongSupplier wallMs;
    private final AgreementNegotiation negotiation;
    private final ShardLeases leases;
    private View view = View.NONE;
    private FailureDetector failureDetector;
    private long nextProposalsUs;
    private long nextHandOversUs;
    private Map<Integer, Long> sentHandOvers = Map.of();
    private long notifyReceiversUntilUs = Long.MIN_VALUE / 2;
    private long nextNotifyReceiversUs;
    private String loggedActiveShards = "";
    private long loggedUntilUs;

    /**
     * Creates the coordinator of one member.
     *
     * @param self this member
     * @param shardCount the number of shards
     * @param maxAloneMs the longest that an agreement may let an operator act alone, milliseconds
     * @param timing the fleet's intervals
     * @param random selects the peers that proposals are sent to
     * @param sender sends messages to peers
     * @param log records decisions
     * @param wallMs the wall clock, milliseconds
     */
    public ShardCoordinator(
            Member self,
            int shardCount,
            long maxAloneMs,
            FleetTiming timing,
            SplittableRandom random,
            MessageSender sender,
            DecisionLog log,
            LongSupplier wallMs) {
        this.self = self;
        this.timing = timing;
        this.assignmentRule = new ShardAssignmentRule(shardCount, maxAloneMs);
        this.random = random;
        this.sender = sender;
        this.log = log;
        this.wallMs = wallMs;
        this.negotiation = new AgreementNegotiation(self, assignmentRule, log);
        this.leases = new ShardLeases(self, timing, maxAloneMs * 1000);
    }

    /**
     * Sets the failure detector. Must be called before any other method.
     *
     * @param detector knows which members are alive
     */
    @Override
    public void setFailureDetector(FailureDetector detector) {
        failureDetector = detector;
    }

    /**
     * Replaces this operator's proposals and acceptance limits.
     *
     * @param terms the new terms of the operator
     */
    public void updateTerms(AgreementTerms terms) {
        negotiation.updateTerms(terms);
    }

    // ---- View consensus ----

    @Override
    public ShardAssignment nextAssignment(View before, List<Member> members) {
        Set<String> present = new TreeSet<>();
        members.forEach(member -> present.add(member.operator()));
        long nowMs = wallMs.getAsLong();
        AgreementProposal ready = negotiation.readyProposal(before, nowMs);
        ShardAssignment next = assignmentRule.nextAssignment(
                before,
                present,
                ready == null ? null : ready.agreement(),
                ready == null ? List.of() : AgreementNegotiation.approversOf(ready),
                nowMs);
        return next.isEquivalentTo(before.shardAssignment()) ? before.shardAssignment() : next;
    }

    @Override
    public Optional<String> violation(View before, View proposed) {
        long nowMs = wallMs.getAsLong();
        return keepsAssignment(before, proposed, nowMs)
                ? Optional.empty()
                : assignmentRule.violation(before, proposed, nowMs);
    }

    /** Returns whether a proposed view keeps the assignment, and the same operators have no member in that view. */
    private boolean keepsAssignment(View before, View proposed, long nowMs) {
        ShardAssignment current = before.shardAssignment();
        if (proposed.shardAssignment() == null || !proposed.shardAssignment().equals(current)) {
            return false;
        }
        ShardAssignment next = assignmentRule.nextAssignment(before, proposed.operators(), null, List.of(), nowMs);
        return next.absentSinceMs().keySet().equals(current.absentSinceMs().keySet());
    }

    @Override
    public void onViewSettled(View settled, long nowUs) {
        View before = view;
        view = settled;
        leases.adoptView(settled, nowUs);
        ShardAssignment assignment = settled.shardAssignment();
        if (assignment == null) {
            return;
        }
        if (!assignment.isEquivalentTo(before.shardAssignment())) {
            logAssignment(assignment);
        }
        notifyReceiversUntilUs = nowUs + RECEIVER_NOTICE_PERIODS * timing.probePeriodUs();
        notifyReceivers(nowUs);
    }

    private void logAssignment(ShardAssignment assignment) {
        log.event(
                "division",
                "era",
                view.era(),
                "number",
                view.number(),
                "operators",
                assignment.operators(),
                "owners",
                assignment.owners(),
                "agreement",
                assignment.agreement() == null ? Map.of() : AgreementNegotiation.toLogFields(assignment.agreement()),
                "agreed_by",
                assignment.agreedBy(),
                "expired",
                assignment.expired(),
                "gone",
                assignment.absentSinceMs().keySet(),
                "as_of_ms",
                assignment.asOfMs());
    }

    /**
     * Notifies the new owners of this operator's former shards that this member holds the view, and so has stopped
     * acting on them: the new owners wait for that. The notification is repeated, since messages may be lost.
     */
    private void notifyReceivers(long nowUs) {
        nextNotifyReceiversUs = nowUs + timing.probePeriodUs() / 2;
        ShardAssignment assignment = view.shardAssignment();
        Set<String> receivers = new TreeSet<>();
        for (Move move : assignment.moves()) {
            String receiver = assignment.owner(move.shard());
            if (move.viewNumber() == view.number()
                    && move.previousOwner().equals(self.operator())
                    && receiver != null) {
                receivers.add(receiver);
            }
        }
        for (Member member : view.members()) {
            if (receivers.contains(member.operator())) {
                sender.send(member.address(), new Message.ViewSettled(view));
            }
        }
    }

    // ---- Messages ----

    /**
     * Records which view a peer holds.
     *
     * @param from the peer
     * @param era the era of the peer's settled view
     * @param number the number of the peer's settled view
     */
    @Override
    public void onPeerView(Member from, long era, long number) {
        leases.onViewAcknowledged(from, era, number);
    }

    /**
     * Merges the agreement proposals that a peer knows.
     *
     * @param from the peer
     * @param received the peer's message
     * @param nowUs the time, microseconds
     */
    @Override
    public void onAgreementProposals(Member from, Message.AgreementProposals received, long nowUs) {
        negotiation.merge(from, received, nowUs);
    }

    /**
     * Merges the completed hand-overs that a member of the same operator knows. Messages of other operators are
     * ignored.
     *
     * @param from the peer
     * @param received the peer's message
     * @param nowUs the time, microseconds
     */
    @Override
    public void onShardsHandedOver(Member from, Message.ShardsHandedOver received, long nowUs) {
        if (from.operator().equals(self.operator())) {
            leases.mergeHandOvers(received, nowUs);
        }
    }

    // ---- Timer ----

    @Override
    public void tick(long nowUs) {
        for (Member member : failureDetector.departedMembers()) {
            leases.onMemberLeft(member);
        }
        if (nowUs < notifyReceiversUntilUs && nowUs >= nextNotifyReceiversUs) {
            notifyReceivers(nowUs);
        }
        negotiation.tick(view, isRepresentative(), wallMs.getAsLong(), nowUs);
        List<Member> peers = failureDetector.presentMembers();
        peers.removeIf(member -> member.isSameStart(self));
        sendProposals(peers, nowUs);
        sendHandOvers(peers, nowUs);
    }

    private void sendProposals(List<Member> peers, long nowUs) {
        if (nowUs < nextProposalsUs || peers.isEmpty()) {
            return;
        }
        nextProposalsUs = nowUs + timing.probePeriodUs();
        List<AgreementProposal> proposals = negotiation.proposalsToSend();
        for (int i = 0; i < PROPOSAL_FANOUT && !proposals.isEmpty(); i++) {
            sender.send(peers.get(random.nextInt(peers.size())).address(), new Message.AgreementProposals(proposals));
        }
    }

    private void sendHandOvers(List<Member> peers, long nowUs) {
        Map<Integer, Long> handedOver = leases.handedOver();
        if (handedOver.isEmpty() || (handedOver.equals(sentHandOvers) && nowUs < nextHandOversUs)) {
            return;
        }
        nextHandOversUs = nowUs + HAND_OVER_REPEAT_PERIODS * timing.probePeriodUs();
        sentHandOvers = handedOver;
        for (Member member : peers) {
            if (member.operator().equals(self.operator())) {
                sender.send(member.address(), new Message.ShardsHandedOver(view.era(), handedOver));
            }
        }
    }

    /**
     * Returns whether this member represents its operator: it is the first by name of those that are in the view and
     * alive.
     */
    private boolean isRepresentative() {
        for (Member member : view.members()) {
            if (member.operator().equals(self.operator())
                    && (member.isSameStart(self) || failureDetector.state(member.name()) == State.ALIVE)) {
                return member.isSameStart(self);
            }
        }
        return false;
    }

    // ---- Published state ----

    /**
     * Returns the front doors that requests may be forwarded to.
     *
     * @return by operator, all other front doors in the view that take requests from partners and are alive or
     *     suspected
     */
    public Map<String, List<ShardOwnership.PartnerEndpoint>> partnerEndpoints() {
        Map<String, List<ShardOwnership.PartnerEndpoint>> endpoints = new TreeMap<>();
        for (Member member : view.members()) {
            State state = failureDetector.state(member.name());
            if (!member.isSameStart(self)
                    && member.serves() != null
                    && (state == State.ALIVE || state == State.SUSPECT)) {
                endpoints
                        .computeIfAbsent(member.operator(), operator -> new ArrayList<>())
                        .add(new ShardOwnership.PartnerEndpoint(
                                member.name() + "/" + member.start(), member.site(), member.serves()));
            }
        }
        return endpoints;
    }

    /**
     * Returns which shards this front door may act on, and where to forward requests for the others. Changes are
     * logged, so that the logs of all front doors show which operator acted on a shard, and until when.
     *
     * @param viewLease this member's lease on the settled view
     * @param operators the operators of the partners' tiers, by tier number from 1
     * @param isLeaving whether this member has left; it then acts on no shard
     * @param offsetUs how far the table's clock is ahead of this coordinator's clock, microseconds
     * @param nowUs the time, microseconds
     * @return the shard table; null before the first assignment
     */
    public ShardTable shardTable(
            ViewLease viewLease, List<String> operators, boolean isLeaving, long offsetUs, long nowUs) {
        long sinceUs = isLeaving ? Long.MIN_VALUE / 2 : viewLease.lastConfirmedUs(nowUs);
        ShardLeases.Snapshot snapshot = leases.snapshot(sinceUs, nowUs, wallMs.getAsLong() * 1000);
        if (snapshot == null) {
            return null;
        }
        logActiveShardsIfChanged(snapshot, operators, nowUs);
        return ShardTable.of(
                snapshot, self.operator(), operators, partnerEndpoints().keySet(), timing.probePeriodUs(), offsetUs);
    }

    private void logActiveShardsIfChanged(ShardLeases.Snapshot snapshot, List<String> operators, long nowUs) {
        String active = ShardTable.of(snapshot, self.operator(), operators, Set.of(), 0, 0)
                .activeShards(nowUs);
        long untilUs = active.indexOf(ShardTable.ACTIVE) < 0 ? 0 : Math.max(0, snapshot.untilUs());
        if (active.equals(loggedActiveShards) && untilUs == loggedUntilUs) {
            return;
        }
        loggedActiveShards = active;
        loggedUntilUs = untilUs;
        log.event(
                "acts",
                "era",
                view.era(),
                "number",
                view.number(),
                "operator",
                self.operator(),
                "on",
                active,
                "until_us",
                untilUs);
    }
}
