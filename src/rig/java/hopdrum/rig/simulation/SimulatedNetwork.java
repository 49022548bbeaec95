package hopdrum.rig.simulation;

import hopdrum.fleet.message.Codec;
import hopdrum.fleet.message.Member;
import hopdrum.fleet.message.Message;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.ToLongBiFunction;

/** Delivers messages between nodes in virtual time. Messages can be delayed, lost, blocked and rewritten. */
final class SimulatedNetwork {
    private static final int FRAME_HEADER_BYTES = 4;
    private static final long DEFAULT_MEAN_DELAY_US = 1_000;

    /** A message in flight. Of the messages that are due at the same time, the lowest sequence is delivered first. */
    private static final class Delivery {
        final long dueUs;
        final long sequence;
        final String from;
        final String to;
        final Member sender;
        final byte[] bytes;

        Delivery(long dueUs, long sequence, String from, String to, Member sender, byte[] bytes) {
            this.dueUs = dueUs;
            this.sequence = sequence;
            this.from = from;
            this.to = to;
            this.sender = sender;
            this.bytes = bytes;
        }

        Delivery postponed(long newDueUs, long newSequence) {
            return new Delivery(newDueUs, newSequence, from, to, sender, bytes);
        }
    }

    private final SimulatedClock clock;
    private final SplittableRandom random;
    private final Map<String, SimulatedNode> nodes;
    private final Map<String, String> nameByAddress = new HashMap<>();
    private final PriorityQueue<Delivery> inFlight =
            new PriorityQueue<>(Comparator.<Delivery>comparingLong(delivery -> delivery.dueUs)
                    .thenComparingLong(delivery -> delivery.sequence));
    private long nextSequence;
    private double lossProbability;
    private long meanDelayUs = DEFAULT_MEAN_DELAY_US;
    private ToLongBiFunction<String, String> extraDelayUs = (from, to) -> 0;
    private BiPredicate<String, String> linkFilter = (from, to) -> true;
    private BiFunction<String, Message, Message> messageRewriter = (from, message) -> message;

    SimulatedNetwork(SimulatedClock clock, SplittableRandom random, Map<String, SimulatedNode> nodes) {
        this.clock = clock;
        this.random = random;
        this.nodes = nodes;
        nodes.values().forEach(node -> nameByAddress.put(node.address(), node.name()));
    }

    /** Sets the probability that a message is lost, from 0 to 1. */
    void setLossProbability(double probability) {
        lossProbability = probability;
    }

    /** Sets the mean one-way delay in microseconds; a message takes between half and one and a half times as long. */
    void setMeanDelayUs(long newMeanDelayUs) {
        meanDelayUs = newMeanDelayUs;
    }

    /** Sets the one-way delay, in microseconds, that is added by the names of sender and receiver. */
    void setExtraDelayUs(ToLongBiFunction<String, String> delayBySenderAndReceiver) {
        extraDelayUs = delayBySenderAndReceiver;
    }

    /** Sets which messages pass, by the names of sender and receiver; the filter also applies to messages in flight. */
    void setLinkFilter(BiPredicate<String, String> filter) {
        linkFilter = filter;
    }

    /** Sets the function that replaces each message before it is sent, given the sender's name and the message. */
    void setMessageRewriter(BiFunction<String, Message, Message> rewriter) {
        messageRewriter = rewriter;
    }

    /**
     * Sends a message.
     *
     * @param from the node that sends
     * @param sender the member that runs at the node
     * @param address the address of the receiver; messages to unknown addresses are lost
     * @param message the message before it is rewritten
     */
    void send(SimulatedNode from, Member sender, String address, Message message) {
        byte[] bytes = Codec.encode(messageRewriter.apply(from.name(), message));
        from.countSent(bytes.length + FRAME_HEADER_BYTES);
        String to = nameByAddress.get(address);
        if (to == null || random.nextDouble() < lossProbability || !linkFilter.test(from.name(), to)) {
            return;
        }
        long delayUs = meanDelayUs / 2 + random.nextLong(meanDelayUs) + extraDelayUs.applyAsLong(from.name(), to);
        inFlight.add(new Delivery(clock.nowUs() + delayUs, nextSequence++, from.name(), to, sender, bytes));
    }

    /**
     * Delivers all messages that are due. Messages for a paused node wait, as in the socket buffers of its kernel, and
     * arrive one step after the pause has ended.
     *
     * @param stepUs the length of a step of the simulation, microseconds
     * @param onReceived called with the receiving node after each message that the node has processed
     */
    void deliverDue(long stepUs, Consumer<SimulatedNode> onReceived) {
        long nowUs = clock.nowUs();
        while (!inFlight.isEmpty() && inFlight.peek().dueUs <= nowUs) {
            Delivery delivery = inFlight.poll();
            SimulatedNode to = nodes.get(delivery.to);
            if (!to.isUp() || !linkFilter.test(delivery.from, delivery.to)) {
                continue;
            }
            if (to.isPaused(nowUs)) {
                inFlight.add(delivery.postponed(to.pausedUntilUs() + stepUs, nextSequence++));
                continue;
            }
            to.receive(delivery.sender, delivery.bytes, nowUs);
            onReceived.accept(to);
        }
    }
}
