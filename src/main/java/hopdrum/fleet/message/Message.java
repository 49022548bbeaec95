package hopdrum.fleet.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;

/**
 * A message between members of a fleet. The constructors throw IllegalArgumentException if a component is invalid. The
 * names in the annotations and the names of record components without an annotation are the wire format.
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
    /** The protocol version; peers with another version are rejected. */
    int VERSION = 2;
    /** The maximum number of gossip updates or latency readings in one message. */
    int MAX_LIST_SIZE = 2_000;
    /** The maximum number of agreement proposals in one message. */
    int MAX_PROPOSALS = 32;

    private static List<GossipUpdate> checkedUpdates(List<GossipUpdate> updates) {
        Member.checkComponent(updates != null && updates.size() <= MAX_LIST_SIZE, "list of gossip updates");
        return List.copyOf(updates);
    }

    private static void checkViewId(long era, long number) {
        Member.checkComponent(era >= 0 && number >= 0, "era or number of a view");
    }

    /**
     * The first message on each connection, in both directions. States the sender, its fleet and its protocol version.
     *
     * @param version the sender's protocol version
     * @param fleet the fleet's name
     * @param shards the number of shards; 0 if no shards are shared
     * @param maxAloneMs the longest that an operator may act alone, milliseconds; 0 if no shards are shared
     * @param sender the member that sends the hello
     */
    record Hello(
            int version,
            String fleet,
            int shards,
            @JsonProperty("mostAloneMs") long maxAloneMs,
            @JsonProperty("who") Member sender)
            implements Message {
        /** Validates the components; throws IllegalArgumentException if one is invalid. */
        public Hello {
            Member.checkComponent(sender != null && Member.isName(fleet), "sender or fleet of a hello");
        }

        /**
         * Creates the hello of a member that shares no shards.
         *
         * @param version the sender's protocol version
         * @param fleet the fleet's name
         * @param sender the member that sends the hello
         */
        public Hello(int version, String fleet, Member sender) {
            this(version, fleet, 0, 0, sender);
        }
    }

    /**
     * Rejects a hello, instead of answering it with a hello. The last message on the connection.
     *
     * @param reason why the peer is rejected
     */
    record HelloRejected(@JsonProperty("why") String reason) implements Message {}

    // ---- Failure detection (SWIM) ----

    /**
     * Asks the receiver for an ack, to find out whether it is alive.
     *
     * @param seq the sequence number of the ping
     * @param era the era of the sender's settled view
     * @param number the number of the sender's settled view
     * @param updates gossip updates, the most urgent first
     */
    record Ping(
            long seq,
            long era,
            long number,
            @JsonProperty("rumours") List<GossipUpdate> updates) implements Message {
        /** Validates the components; throws IllegalArgumentException if one is invalid. */
        public Ping {
            checkViewId(era, number);
            updates = checkedUpdates(updates);
        }
    }

    /**
     * Answers a ping.
     *
     * @param seq the sequence number of the ping
     * @param era the era of the sender's settled view
     * @param number the number of the sender's settled view
     * @param updates gossip updates, the most urgent first
     */
    record Ack(
            long seq,
            long era,
            long number,
            @JsonProperty("rumours") List<GossipUpdate> updates) implements Message {
        /** Validates the components; throws IllegalArgumentException if one is invalid. */
        public Ack {
            checkViewId(era, number);
            updates = checkedUpdates(updates);
        }
    }

    /**
     * Asks the receiver to ping another member on the sender's behalf.
     *
     * @param seq the sequence number that the ack is to carry
     * @param target the member to ping
     * @param updates gossip updates, the most urgent first
     */
    record PingRequest(
            long seq,
            @JsonProperty("whom") Member target,
            @JsonProperty("rumours") List<GossipUpdate> updates) implements Message {
        /** Validates the components; throws IllegalArgumentException if one is invalid. */
        public PingRequest {
            Member.checkComponent(target != null, "target of a ping request");
            updates = checkedUpdates(updates);
        }
    }

    /**
     * Answers a ping request whose target has not answered yet; shows that the receiver of the request is alive.
     *
     * @param seq the sequence number of the ping request
     */
    record Nack(long seq) implements Message {}

    /**
     * Transmits the states of all members as the sender believes them to be (anti-entropy).
     *
     * @param answer whether this answers an exchange; an exchange that is not an answer asks for one
     * @param era the era of the sender's settled view
     * @param number the number of the sender's settled view
     * @param updates the state of each member as the sender believes it to be
     */
    record FullStateExchange(
            boolean answer,
            long era,
            long number,
            @JsonProperty("rumours") List<GossipUpdate> updates) implements Message {
        /** Validates the components; throws IllegalArgumentException if one is invalid. */
        public FullStateExchange {
            checkViewId(era, number);
            updates = checkedUpdates(updates);
        }
    }

    /**
     * Rejects a member that starts under the sender's name while the sender is alive.
     *
     * @param holder the member that holds the name
     */
    record NameTaken(Member holder) implements Message {
        /** Validates the components; throws IllegalArgumentException if one is invalid. */
        public NameTaken {
            Member.checkComponent(holder != null, "holder of a name");
        }
    }

    /**
     * Transmits latency readings of the sender and of others. The time until the answer arrives is a latency sample.
     *
     * @param seq the sequence number of the latency probe
     * @param answer whether this answers an exchange; an exchange that is not an answer asks for one
     * @param readings the most recent readings that the sender knows
     */
    record LatencyExchange(long seq, boolean answer, List<LatencyReading> readings) implements Message {
        /** Validates the components; throws IllegalArgumentException if one is invalid. */
        public LatencyExchange {
            Member.checkComponent(readings != null && readings.size() <= MAX_LIST_SIZE, "list of latency readings");
            readings = List.copyOf(readings);
        }
    }

    // ---- View consensus (Paxos): era and number identify the view that the next one is to follow ----

    /**
     * Asks for a promise (Paxos phase 1a).
     *
     * @param era the era of the view that the next one is to follow
     * @param number the number of the view that the next one is to follow; 0 for the founding
     * @param ballot the proposer's ballot
     */
    record Prepare(long era, long number, Ballot ballot) implements Message {
        /** Validates the components; throws IllegalArgumentException if one is invalid. */
        public Prepare {
            checkViewId(era, number);
            Member.checkComponent(ballot != null, "ballot: none");
        }
    }

    /**
     * Promises that the sender accepts no view in a lower ballot (Paxos phase 1b).
     *
     * @param era the era of the view that the next one is to follow
     * @param number the number of the view that the next one is to follow; 0 for the founding
     * @param ballot the promised ballot
     * @param acceptedIn the ballot in which the sender accepted a view before; null if it has accepted none
     * @param accepted the view that the sender accepted; null if it has accepted none
     */
    record Promise(long era, long number, Ballot ballot, Ballot acceptedIn, View accepted) implements Message {
        /** Validates the components; throws IllegalArgumentException if one is invalid. */
        public Promise {
            checkViewId(era, number);
            Member.checkComponent(
                    ballot != null && (acceptedIn == null) == (accepted == null),
                    "promise: no ballot, or an accepted view without its ballot or vice versa");
        }
    }

    /**
     * Asks the receiver to accept a view (Paxos phase 2a).
     *
     * @param era the era of the view that the next one is to follow
     * @param number the number of the view that the next one is to follow; 0 for the founding
     * @param ballot the proposer's ballot
     * @param view the proposed view
     */
    record Accept(long era, long number, Ballot ballot, View view) implements Message {
        /** Validates the components; throws IllegalArgumentException if one is invalid. */
        public Accept {
            checkViewId(era, number);
            Member.checkComponent(ballot != null && view != null, "ballot or view of an accept message");
            Member.checkComponent(
                    number == 0 ? view.number() == 1 && view.era() > 0 : view.hasId(era, number + 1),
                    "era or number of a proposed view");
        }
    }

    /**
     * Confirms that the sender has accepted the ballot's view and has stored it durably (Paxos phase 2b).
     *
     * @param era the era of the view that the next one is to follow
     * @param number the number of the view that the next one is to follow; 0 for the founding
     * @param ballot the ballot of the accepted view
     */
    record Accepted(long era, long number, Ballot ballot) implements Message {
        /** Validates the components; throws IllegalArgumentException if one is invalid. */
        public Accepted {
            checkViewId(era, number);
            Member.checkComponent(ballot != null, "ballot: none");
        }
    }

    /**
     * Rejects a prepare or accept message whose ballot is lower than the promised one.
     *
     * @param era the era of the view that the next one is to follow
     * @param number the number of the view that the next one is to follow; 0 for the founding
     * @param promised the higher ballot that the sender has promised
     */
    record Preempted(
            long era, long number, @JsonProperty("by") Ballot promised) implements Message {
        /** Validates the components; throws IllegalArgumentException if one is invalid. */
        public Preempted {
            checkViewId(era, number);
            Member.checkComponent(promised != null, "ballot: none");
        }
    }

    /**
     * Announces a view that a quorum has settled.
     *
     * @param view the settled view
     */
    record ViewSettled(View view) implements Message {
        /** Validates the components; throws IllegalArgumentException if one is invalid. */
        public ViewSettled {
            Member.checkComponent(view != null, "settled view: none");
        }
    }

    /**
     * Asks for the receiver's settled view, if that is later than the sender's.
     *
     * @param era the era of the sender's settled view
     * @param number the number of the sender's settled view
     */
    record SettledViewRequest(long era, long number) implements Message {
        /** Validates the components; throws IllegalArgumentException if one is invalid. */
        public SettledViewRequest {
            checkViewId(era, number);
        }
    }

    // ---- Leases: a member may act on its view for a limited time after a quorum was seen to hold the view ----

    /**
     * Asks a member of a view to take part in a lease renewal round.
     *
     * @param era the view's era
     * @param number the view's number
     * @param round the number of the renewal round
     */
    record LeaseRenewalRequest(long era, long number, long round) implements Message {
        /** Validates the components; throws IllegalArgumentException if one is invalid. */
        public LeaseRenewalRequest {
            checkViewId(era, number);
        }
    }

    /**
     * Confirms that the sender holds the view, in answer to a {@link LeaseRenewalRequest}.
     *
     * @param era the view's era
     * @param number the view's number
     * @param round the number of the renewal round
     * @param atUs the sender's monotonic clock, microseconds; returned to the sender in {@link LeaseGranted} and
     *     meaningless to other members
     */
    record LeaseRenewalResponse(long era, long number, long round, long atUs) implements Message {
        /** Validates the components; throws IllegalArgumentException if one is invalid. */
        public LeaseRenewalResponse {
            checkViewId(era, number);
        }
    }

    /**
     * Grants a lease: a quorum was seen to hold the view when the receiver's clock showed {@code atUs} or later.
     *
     * @param era the view's era
     * @param number the view's number
     * @param atUs the start of the receiver's lease by the receiver's monotonic clock, microseconds
     */
    record LeaseGranted(long era, long number, long atUs) implements Message {
        /** Validates the components; throws IllegalArgumentException if one is invalid. */
        public LeaseGranted {
            checkViewId(era, number);
        }
    }

    // ---- Shards ----

    /**
     * Transmits agreements that operators propose, with the answers known so far. The order of arrival does not matter.
     *
     * @param proposals the proposals that the sender knows
     */
    record AgreementProposals(@JsonProperty("offers") List<AgreementProposal> proposals) implements Message {
        /** Validates the components; throws IllegalArgumentException if one is invalid. */
        public AgreementProposals {
            Member.checkComponent(proposals != null && proposals.size() <= MAX_PROPOSALS, "list of proposals");
            proposals = List.copyOf(proposals);
        }
    }

    /**
     * Announces to members of the sender's operator the shards on which no former owner acts any more.
     *
     * @param era the era of the settled view
     * @param viewNumbers by shard, the number of the view with which the shard changed its owner
     */
    record ShardsHandedOver(
            long era, @JsonProperty("numbers") Map<Integer, Long> viewNumbers) implements Message {
        /** Validates the components; throws IllegalArgumentException if one is invalid. */
        public ShardsHandedOver {
            Member.checkComponent(
                    era >= 0 && viewNumbers != null && viewNumbers.size() <= ShardAssignment.MAX_SHARDS,
                    "era or number of shards");
            viewNumbers.forEach((shard, number) -> Member.checkComponent(
                    shard >= 0 && shard < ShardAssignment.MAX_SHARDS && number > 0, "shard or view number"));
            viewNumbers = Map.copyOf(viewNumbers);
        }
    }
}
