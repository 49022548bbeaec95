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
    @Type(value = Message.TurnedDown.class, name = "turneddown"),
    @Type(value = Message.Ping.class, name = "ping"),
    @Type(value = Message.Ack.class, name = "ack"),
    @Type(value = Message.PingFor.class, name = "pingfor"),
    @Type(value = Message.Nack.class, name = "nack"),
    @Type(value = Message.Exchange.class, name = "exchange"),
    @Type(value = Message.NameTaken.class, name = "taken"),
    @Type(value = Message.Prepare.class, name = "prepare"),
    @Type(value = Message.Promise.class, name = "promise"),
    @Type(value = Message.Accept.class, name = "accept"),
    @Type(value = Message.Accepted.class, name = "accepted"),
    @Type(value = Message.Overruled.class, name = "overruled"),
    @Type(value = Message.Settled.class, name = "settled"),
    @Type(value = Message.AskSettled.class, name = "asksettled"),
    @Type(value = Message.Renew.class, name = "renew"),
    @Type(value = Message.Renewed.class, name = "renewed"),
    @Type(value = Message.Latency.class, name = "latency"),
    @Type(value = Message.Held.class, name = "held"),
    @Type(value = Message.Offers.class, name = "offers"),
    @Type(value = Message.Opened.class, name = "opened")
})
public sealed interface Message {
    int VERSION = 2;
    int MOST_RUMOURS = 2_000;
    int MOST_OFFERS = 32;

    private static List<Rumour> checked(List<Rumour> rumours) {
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
    record TurnedDown(String why) implements Message {}

    // ---- Failure detection (SWIM) ----

    /** Asks for an ack; era and number name the sender's settled view, in acks too. */
    record Ping(long seq, long era, long number, List<Rumour> rumours) implements Message {
        public Ping {
            named(era, number);
            rumours = checked(rumours);
        }
    }

    record Ack(long seq, long era, long number, List<Rumour> rumours) implements Message {
        public Ack {
            named(era, number);
            rumours = checked(rumours);
        }
    }

    /** Asks to ping another in the sender's stead. */
    record PingFor(long seq, Member whom, List<Rumour> rumours) implements Message {
        public PingFor {
            Member.check(whom != null, "nobody to ping");
            rumours = checked(rumours);
        }
    }

    /** The member asked to ping lives, and the one that it pinged has not answered yet. */
    record Nack(long seq) implements Message {}

    /** All that the sender believes; one that is no answer asks for the same. */
    record Exchange(boolean answer, long era, long number, List<Rumour> rumours) implements Message {
        public Exchange {
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
    record Latency(long seq, boolean answer, List<Reading> readings) implements Message {
        public Latency {
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

    record Overruled(long era, long number, Ballot by) implements Message {
        public Overruled {
            named(era, number);
            Member.check(by != null, "no ballot");
        }
    }

    record Settled(View view) implements Message {
        public Settled {
            Member.check(view != null, "no view");
        }
    }

    /** Asks for the settled view, where the asked one has a later one than this. */
    record AskSettled(long era, long number) implements Message {
        public AskSettled {
            named(era, number);
        }
    }

    // ---- Leases: a member may act on its view for a time after a majority was seen to hold it ----

    record Renew(long era, long number, long round) implements Message {
        public Renew {
            named(era, number);
        }
    }

    /** atUs is the answering member's own monotonic clock; it comes back in Held and means nothing to others. */
    record Renewed(long era, long number, long round, long atUs) implements Message {
        public Renewed {
            named(era, number);
        }
    }

    /** A majority has held the view since a time that was atUs or later on the told member's own clock. */
    record Held(long era, long number, long atUs) implements Message {
        public Held {
            named(era, number);
        }
    }

    // ---- Shards ----

    /** What operators propose and say of it; merged in any order. */
    record Offers(List<Offer> offers) implements Message {
        public Offers {
            Member.check(offers != null && offers.size() <= MOST_OFFERS, "offers");
            offers = List.copyOf(offers);
        }
    }

    /** To the operator's own: of these shards, as they moved with these views, all former owners have surely stopped. */
    record Opened(long era, Map<Integer, Long> numbers) implements Message {
        public Opened {
            Member.check(era >= 0 && numbers != null && numbers.size() <= Division.MOST_SHARDS, "shards");
            numbers.forEach((shard, number) ->
                    Member.check(shard >= 0 && shard < Division.MOST_SHARDS && number > 0, "a shard"));
            numbers = Map.copyOf(numbers);
        }
    }
}
