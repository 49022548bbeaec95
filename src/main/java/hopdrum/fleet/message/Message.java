package hopdrum.fleet.message;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonSubTypes.Type;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;

/** One message between members. Making one throws IllegalArgumentException where a figure cannot be. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "is")
@JsonSubTypes({
    @Type(value = Message.Hello.class, name = "hello"),
    @Type(value = Message.Rejected.class, name = "turneddown"),
    @Type(value = Message.Ping.class, name = "ping"),
    @Type(value = Message.Ack.class, name = "ack"),
    @Type(value = Message.PingRequest.class, name = "pingfor"),
    @Type(value = Message.Nack.class, name = "nack"),
    @Type(value = Message.FullStateExchange.class, name = "exchange"),
    @Type(value = Message.NameTaken.class, name = "taken"),
    @Type(value = Message.Prepare.class, name = "prepare"),
    @Type(value = Message.Promise.class, name = "promise"),
    @Type(value = Message.Accept.class, name = "accept"),
    @Type(value = Message.Accepted.class, name = "accepted"),
    @Type(value = Message.Preempted.class, name = "overruled"),
    @Type(value = Message.ViewSettled.class, name = "settled"),
    @Type(value = Message.SettledViewRequest.class, name = "asksettled"),
    @Type(value = Message.Renew.class, name = "renew"),
    @Type(value = Message.Renewed.class, name = "renewed"),
    @Type(value = Message.LatencyExchange.class, name = "latency"),
    @Type(value = Message.LeaseGranted.class, name = "held"),
    @Type(value = Message.AgreementProposals.class, name = "offers"),
    @Type(value = Message.ShardsHandedOver.class, name = "opened")
})
public sealed interface Message {
    int VERSION = 2;
    int MOST_RUMOURS = 2_000;
    int MOST_OFFERS = 32;

    private static List<GossipUpdate> checked(List<GossipUpdate> rumours) {
        Member.check(rumours != null && rumours.size() <= MOST_RUMOURS, "rumours");
        return List.copyOf(rumours);
    }

    private static void named(long era, long number) {
        Member.check(era >= 0 && number >= 0, "a view's number");
    }

    /** First on each connection, in both directions: who speaks, of which fleet, in which version. */
    record Hello(int version, String fleet, int shards, long mostAloneMs, Member who) implements Message {
        public Hello {
            Member.check(who != null && Member.isName(fleet), "a hello");
        }

        /** From one that divides nothing. */
        public Hello(int version, String fleet, Member who) {
            this(version, fleet, 0, 0, who);
        }
    }

    /** Instead of a hello, and the connection's last. */
    record Rejected(String why) implements Message {}

    // ---- Failure detection (SWIM) ----

    /** Asks for an ack; era and number name the sender's settled view, in acks too. */
    record Ping(long seq, long era, long number, List<GossipUpdate> rumours) implements Message {
        public Ping {
            named(era, number);
            rumours = checked(rumours);
        }
    }

    record Ack(long seq, long era, long number, List<GossipUpdate> rumours) implements Message {
        public Ack {
            named(era, number);
            rumours = checked(rumours);
        }
    }

    /** Asks to ping another in the sender's stead. */
    record PingRequest(long seq, Member whom, List<GossipUpdate> rumours) implements Message {
        public PingRequest {
            Member.check(whom != null, "nobody to ping");
            rumours = checked(rumours);
        }
    }

    /** The member asked to ping lives, and the one that it pinged has not answered yet. */
    record Nack(long seq) implements Message {}

    /** All that the sender believes; one that is no answer asks for the same. */
    record FullStateExchange(boolean answer, long era, long number, List<GossipUpdate> rumours) implements Message {
        public FullStateExchange {
            named(era, number);
            rumours = checked(rumours);
        }
    }

    /** To one that starts under the sender's name while the sender lives. */
    record NameTaken(Member holder) implements Message {
        public NameTaken {
            Member.check(holder != null, "no holder");
        }
    }

    /** Readings of the sender's own and of others; one that is no answer asks for the same, and so measures the way. */
    record LatencyExchange(long seq, boolean answer, List<LatencyReading> readings) implements Message {
        public LatencyExchange {
            Member.check(readings != null && readings.size() <= MOST_RUMOURS, "readings");
            readings = List.copyOf(readings);
        }
    }

    // ---- Settled views: era and number name the view that the next one is to follow ----

    record Prepare(long era, long number, Ballot ballot) implements Message {
        public Prepare {
            named(era, number);
            Member.check(ballot != null, "no ballot");
        }
    }

    /** Nothing below the ballot will be accepted; with what was accepted before, if anything. */
    record Promise(long era, long number, Ballot ballot, Ballot acceptedIn, View accepted) implements Message {
        public Promise {
            named(era, number);
            Member.check(ballot != null && (acceptedIn == null) == (accepted == null), "half a promise");
        }
    }

    record Accept(long era, long number, Ballot ballot, View view) implements Message {
        public Accept {
            named(era, number);
            Member.check(ballot != null && view != null, "nothing to accept");
            Member.check(
                    number == 0 ? view.number() == 1 && view.era() > 0 : view.isNamed(era, number + 1),
                    "a view's number");
        }
    }

    record Accepted(long era, long number, Ballot ballot) implements Message {
        public Accepted {
            named(era, number);
            Member.check(ballot != null, "no ballot");
        }
    }

    record Preempted(long era, long number, Ballot by) implements Message {
        public Preempted {
            named(era, number);
            Member.check(by != null, "no ballot");
        }
    }

    record ViewSettled(View view) implements Message {
        public ViewSettled {
            Member.check(view != null, "no view");
        }
    }

    /** Asks for the settled view, where the asked one has a later one than this. */
    record SettledViewRequest(long era, long number) implements Message {
        public SettledViewRequest {
            named(era, number);
        }
    }

    // ---- Leases: a member may act on its view for a time after a majority was seen to hold it ----

    record Renew(long era, long number, long round) implements Message {
        public Renew {
            named(era, number);
        }
    }

    /** atUs is the answering member's own monotonic clock; it comes back in LeaseGranted and means nothing to others. */
    record Renewed(long era, long number, long round, long atUs) implements Message {
        public Renewed {
            named(era, number);
        }
    }

    /** A majority has held the view since a time that was atUs or later on the told member's own clock. */
    record LeaseGranted(long era, long number, long atUs) implements Message {
        public LeaseGranted {
            named(era, number);
        }
    }

    // ---- Shards ----

    /** What operators propose and say of it; merged in any order. */
    record AgreementProposals(List<AgreementProposal> offers) implements Message {
        public AgreementProposals {
            Member.check(offers != null && offers.size() <= MOST_OFFERS, "offers");
            offers = List.copyOf(offers);
        }
    }

    /** To the operator's own: of these shards, as they moved with these views, all former owners have surely stopped. */
    record ShardsHandedOver(long era, Map<Integer, Long> numbers) implements Message {
        public ShardsHandedOver {
            Member.check(era >= 0 && numbers != null && numbers.size() <= ShardAssignment.MOST_SHARDS, "shards");
            numbers.forEach((shard, number) ->
                    Member.check(shard >= 0 && shard < ShardAssignment.MOST_SHARDS && number > 0, "a shard"));
            numbers = Map.copyOf(numbers);
        }
    }
}
