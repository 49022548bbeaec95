package hopdrum.fleet.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;

/**
 * One message between members of a fleet. Making one throws IllegalArgumentException where a component cannot be. The
 * names in the annotations, and the record components' names, are the wire format.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "is")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Message.Hello.class, name = "hello"),
    @JsonSubTypes.Type(value = Message.HelloRejected.class, name = "turneddown"),
    @JsonSubTypes.Type(value = Message.Ping.class, name = "ping"),
    @JsonSubTypes.Type(value = Message.Ack.class, name = "ack"),
    @JsonSubTypes.Type(value = Message.PingRequest.class, name = "pingfor"),
    @JsonSubTypes.Type(value = Message.Nack.class, name = "nack"),
    @JsonSubTypes.Type(value = Message.FullStateExchange.class, name = "exchange"),
    @JsonSubTypes.Type(value = Message.NameTaken.class, name = "taken"),
    @JsonSubTypes.Type(value = Message.Prepare.class, name = "prepare"),
    @JsonSubTypes.Type(value = Message.Promise.class, name = "promise"),
    @JsonSubTypes.Type(value = Message.Accept.class, name = "accept"),
    @JsonSubTypes.Type(value = Message.Accepted.class, name = "accepted"),
    @JsonSubTypes.Type(value = Message.Preempted.class, name = "overruled"),
    @JsonSubTypes.Type(value = Message.ViewSettled.class, name = "settled"),
    @JsonSubTypes.Type(value = Message.SettledViewRequest.class, name = "asksettled"),
    @JsonSubTypes.Type(value = Message.LeaseRenewalRequest.class, name = "renew"),
    @JsonSubTypes.Type(value = Message.LeaseRenewalResponse.class, name = "renewed"),
    @JsonSubTypes.Type(value = Message.LatencyExchange.class, name = "latency"),
    @JsonSubTypes.Type(value = Message.LeaseGranted.class, name = "held"),
    @JsonSubTypes.Type(value = Message.AgreementProposals.class, name = "offers"),
    @JsonSubTypes.Type(value = Message.ShardsHandedOver.class, name = "opened")
})
public sealed interface Message {
    /** The protocol version; peers of another are rejected. */
    int VERSION = 2;
    /** The most gossip updates or latency readings of one message. */
    int MAX_LIST_SIZE = 2_000;
    /** The most agreement proposals of one message. */
    int MAX_PROPOSALS = 32;

    private static List<GossipUpdate> checkedUpdates(List<GossipUpdate> updates) {
        Member.check(updates != null && updates.size() <= MAX_LIST_SIZE, "gossip updates");
        return List.copyOf(updates);
    }

    private static void checkViewId(long era, long number) {
        Member.check(era >= 0 && number >= 0, "a view's number");
    }

    /**
     * The first message on each connection, in both directions: the sender, its fleet and its protocol version.
     *
     * @param version the sender's protocol version
     * @param fleet the fleet's name
     * @param shards the number of shards; 0 where none are shared
     * @param maxAloneMs the longest that an operator may act alone, milliseconds; 0 where no shards are shared
     * @param sender the sender
     */
    record Hello(
            int version,
            String fleet,
            int shards,
            @JsonProperty("mostAloneMs") long maxAloneMs,
            @JsonProperty("who") Member sender)
            implements Message {
        /** Checks the components; throws IllegalArgumentException where one cannot be. */
        public Hello {
            Member.check(sender != null && Member.isName(fleet), "a hello");
        }

        /**
         * Makes the hello of a member that shares no shards.
         *
         * @param version the sender's protocol version
         * @param fleet the fleet's name
         * @param sender the sender
         */
        public Hello(int version, String fleet, Member sender) {
            this(version, fleet, 0, 0, sender);
        }
    }

    /**
     * Answers a hello in place of a hello; the connection's last message.
     *
     * @param reason why the peer is rejected
     */
    record HelloRejected(@JsonProperty("why") String reason) implements Message {}

    // ---- Failure detection (SWIM) ----

    /**
     * Asks for an ack; era and number name the sender's settled view.
     *
     * @param seq the ping's number
     * @param era era of the sender's settled view
     * @param number number of the sender's settled view
     * @param updates gossip updates, most urgent first
     */
    record Ping(
            long seq,
            long era,
            long number,
            @JsonProperty("rumours") List<GossipUpdate> updates) implements Message {
        /** Checks the components; throws IllegalArgumentException where one cannot be. */
        public Ping {
            checkViewId(era, number);
            updates = checkedUpdates(updates);
        }
    }

    /**
     * Answers a ping; era and number name the sender's settled view.
     *
     * @param seq the ping's number
     * @param era era of the sender's settled view
     * @param number number of the sender's settled view
     * @param updates gossip updates, most urgent first
     */
    record Ack(
            long seq,
            long era,
            long number,
            @JsonProperty("rumours") List<GossipUpdate> updates) implements Message {
        /** Checks the components; throws IllegalArgumentException where one cannot be. */
        public Ack {
            checkViewId(era, number);
            updates = checkedUpdates(updates);
        }
    }

    /**
     * Asks the receiver to ping another member on the sender's behalf.
     *
     * @param seq the number that the ack is to have
     * @param target the member to ping
     * @param updates gossip updates, most urgent first
     */
    record PingRequest(
            long seq,
            @JsonProperty("whom") Member target,
            @JsonProperty("rumours") List<GossipUpdate> updates) implements Message {
        /** Checks the components; throws IllegalArgumentException where one cannot be. */
        public PingRequest {
            Member.check(target != null, "nobody to ping");
            updates = checkedUpdates(updates);
        }
    }

    /**
     * Answers a ping request whose target has not answered yet: the receiver of the request itself is alive.
     *
     * @param seq the ping request's number
     */
    record Nack(long seq) implements Message {}

    /**
     * All that the sender believes of all members (anti-entropy).
     *
     * @param answer whether this answers an exchange; one that does not asks for the same
     * @param era era of the sender's settled view
     * @param number number of the sender's settled view
     * @param updates what the sender believes of each member
     */
    record FullStateExchange(
            boolean answer,
            long era,
            long number,
            @JsonProperty("rumours") List<GossipUpdate> updates) implements Message {
        /** Checks the components; throws IllegalArgumentException where one cannot be. */
        public FullStateExchange {
            checkViewId(era, number);
            updates = checkedUpdates(updates);
        }
    }

    /**
     * Rejects a member that starts under the sender's name while the sender is alive.
     *
     * @param holder the member that has the name
     */
    record NameTaken(Member holder) implements Message {
        /** Checks the components; throws IllegalArgumentException where one cannot be. */
        public NameTaken {
            Member.check(holder != null, "no holder");
        }
    }

    /**
     * Latency readings of the sender's own and of others; with its answer it is a latency probe.
     *
     * @param seq the probe's number
     * @param answer whether this answers a probe; one that does not asks for the same
     * @param readings the youngest readings that the sender has
     */
    record LatencyExchange(long seq, boolean answer, List<LatencyReading> readings) implements Message {
        /** Checks the components; throws IllegalArgumentException where one cannot be. */
        public LatencyExchange {
            Member.check(readings != null && readings.size() <= MAX_LIST_SIZE, "readings");
            readings = List.copyOf(readings);
        }
    }

    // ---- Settled views: era and number name the view that the next one is to follow ----

    /**
     * Paxos phase 1a: asks for a promise.
     *
     * @param era the era of the view that the next one is to follow
     * @param number the number of the view that the next one is to follow; 0 for the founding
     * @param ballot the proposer's ballot
     */
    record Prepare(long era, long number, Ballot ballot) implements Message {
        /** Checks the components; throws IllegalArgumentException where one cannot be. */
        public Prepare {
            checkViewId(era, number);
            Member.check(ballot != null, "no ballot");
        }
    }

    /**
     * Paxos phase 1b: nothing below the ballot will be accepted.
     *
     * @param era the era of the view that the next one is to follow
     * @param number the number of the view that the next one is to follow; 0 for the founding
     * @param ballot the ballot that is promised
     * @param acceptedIn the ballot in which a view was accepted before; null if none was
     * @param accepted the view that was accepted; null if none was
     */
    record Promise(long era, long number, Ballot ballot, Ballot acceptedIn, View accepted) implements Message {
        /** Checks the components; throws IllegalArgumentException where one cannot be. */
        public Promise {
            checkViewId(era, number);
            Member.check(ballot != null && (acceptedIn == null) == (accepted == null), "half a promise");
        }
    }

    /**
     * Paxos phase 2a: asks to accept a view.
     *
     * @param era the era of the view that the next one is to follow
     * @param number the number of the view that the next one is to follow; 0 for the founding
     * @param ballot the proposer's ballot
     * @param view the view that is proposed
     */
    record Accept(long era, long number, Ballot ballot, View view) implements Message {
        /** Checks the components; throws IllegalArgumentException where one cannot be. */
        public Accept {
            checkViewId(era, number);
            Member.check(ballot != null && view != null, "nothing to accept");
            Member.check(
                    number == 0 ? view.number() == 1 && view.era() > 0 : view.hasId(era, number + 1),
                    "a view's number");
        }
    }

    /**
     * Paxos phase 2b: the sender has accepted the ballot's view, and has it on disk.
     *
     * @param era the era of the view that the next one is to follow
     * @param number the number of the view that the next one is to follow; 0 for the founding
     * @param ballot the ballot
     */
    record Accepted(long era, long number, Ballot ballot) implements Message {
        /** Checks the components; throws IllegalArgumentException where one cannot be. */
        public Accepted {
            checkViewId(era, number);
            Member.check(ballot != null, "no ballot");
        }
    }

    /**
     * Answers a prepare or accept whose ballot is below one that was promised.
     *
     * @param era the era of the view that the next one is to follow
     * @param number the number of the view that the next one is to follow; 0 for the founding
     * @param promised the higher ballot that was promised
     */
    record Preempted(
            long era, long number, @JsonProperty("by") Ballot promised) implements Message {
        /** Checks the components; throws IllegalArgumentException where one cannot be. */
        public Preempted {
            checkViewId(era, number);
            Member.check(promised != null, "no ballot");
        }
    }

    /**
     * Announces a view that a quorum has settled.
     *
     * @param view the settled view
     */
    record ViewSettled(View view) implements Message {
        /** Checks the components; throws IllegalArgumentException where one cannot be. */
        public ViewSettled {
            Member.check(view != null, "no view");
        }
    }

    /**
     * Asks for the receiver's settled view, where that is a later one than the sender's.
     *
     * @param era era of the sender's settled view
     * @param number number of the sender's settled view
     */
    record SettledViewRequest(long era, long number) implements Message {
        /** Checks the components; throws IllegalArgumentException where one cannot be. */
        public SettledViewRequest {
            checkViewId(era, number);
        }
    }

    // ---- Leases: a member may act on its view for a time after a quorum was seen to hold it ----

    /**
     * Asks a member of a view to take part in a lease renewal round.
     *
     * @param era the view's era
     * @param number the view's number
     * @param round the round's number
     */
    record LeaseRenewalRequest(long era, long number, long round) implements Message {
        /** Checks the components; throws IllegalArgumentException where one cannot be. */
        public LeaseRenewalRequest {
            checkViewId(era, number);
        }
    }

    /**
     * Answers a renewal round.
     *
     * @param era the view's era
     * @param number the view's number
     * @param round the round's number
     * @param atUs the answering member's own monotonic clock, microseconds; it comes back in {@link LeaseGranted} and means
     *     nothing to others
     */
    record LeaseRenewalResponse(long era, long number, long round, long atUs) implements Message {
        /** Checks the components; throws IllegalArgumentException where one cannot be. */
        public LeaseRenewalResponse {
            checkViewId(era, number);
        }
    }

    /**
     * Grants a lease: a quorum has held the view since a time that was atUs or later on the receiver's own clock.
     *
     * @param era the view's era
     * @param number the view's number
     * @param atUs from when the receiver's lease counts, by its own monotonic clock, microseconds
     */
    record LeaseGranted(long era, long number, long atUs) implements Message {
        /** Checks the components; throws IllegalArgumentException where one cannot be. */
        public LeaseGranted {
            checkViewId(era, number);
        }
    }

    // ---- Shards ----

    /**
     * Agreements that operators propose, with the answers known so far; merged in any order.
     *
     * @param proposals what the sender knows of
     */
    record AgreementProposals(@JsonProperty("offers") List<AgreementProposal> proposals) implements Message {
        /** Checks the components; throws IllegalArgumentException where one cannot be. */
        public AgreementProposals {
            Member.check(proposals != null && proposals.size() <= MAX_PROPOSALS, "offers");
            proposals = List.copyOf(proposals);
        }
    }

    /**
     * Announces to members of the sender's operator the shards whose former owners have all certainly stopped.
     *
     * @param era the settled view's era
     * @param viewNumbers by shard: the number of the view that it moved with
     */
    record ShardsHandedOver(
            long era, @JsonProperty("numbers") Map<Integer, Long> viewNumbers) implements Message {
        /** Checks the components; throws IllegalArgumentException where one cannot be. */
        public ShardsHandedOver {
            Member.check(era >= 0 && viewNumbers != null && viewNumbers.size() <= ShardAssignment.MAX_SHARDS, "shards");
            viewNumbers.forEach((shard, number) ->
                    Member.check(shard >= 0 && shard < ShardAssignment.MAX_SHARDS && number > 0, "a shard"));
            viewNumbers = Map.copyOf(viewNumbers);
        }
    }
}
