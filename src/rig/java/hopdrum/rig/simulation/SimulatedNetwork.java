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

/** Delivers messages between nodes in virtual time: delays, loses and blocks them, and lets a test alter them. */
final class SimulatedNetwork {
    private static final int FRAME_HEADER_BYTES = 4;
    private static final long DEFAULT_DELAY_US = 1_000;

    /** A message under way. */
    private static final class Delivery {
        final long dueUs;
        final long order;
        final String from;
        final String to;
        final Member sender;
        final byte[] bytes;

        Delivery(long dueUs, long order, String from, String to, Member sender, byte[] bytes) {
            this.dueUs = dueUs;
            this.order = order;
            this.from = from;
            this.to = to;
            this.sender = sender;
            this.bytes = bytes;
        }

        Delivery postponed(long newDueUs, long newOrder) {
            return new Delivery(newDueUs, newOrder, from, to, sender, bytes);
        }
    }

    private final SimulatedClock clock;
    private final SplittableRandom random;
    private final Map<String, SimulatedNode> nodes;
    private final Map<String, String> nameByAddress = new HashMap<>();
    private final PriorityQueue<Delivery> underWay =
            new PriorityQueue<>(Comparator.<Delivery>comparingLong(d -> d.dueUs).thenComparingLong(d -> d.order));
    private long nextOrder;
    private double loss;
    private long delayUs = DEFAULT_DELAY_US;
    private ToLongBiFunction<String, String> extraDelayUs = (from, to) -> 0;
    private BiPredicate<String, String> linkFilter = (from, to) -> true;
    private BiFunction<String, Message, Message> tamper = (from, message) -> message;

    SimulatedNetwork(SimulatedClock clock, SplittableRandom random, Map<String, SimulatedNode> nodes) {
        this.clock = clock;
        this.random = random;
        this.nodes = nodes;
        nodes.values().forEach(node -> nameByAddress.put(node.address(), node.name()));
    }

    void setLossProbability(double probability) {
        loss = probability;
    }

    void setMeanDelayUs(long us) {
        delayUs = us;
    }

    void setExtraDelayUs(ToLongBiFunction<String, String> byEnds) {
        extraDelayUs = byEnds;
    }

    void setLinkFilter(BiPredicate<String, String> passes) {
        linkFilter = passes;
    }

    void setMessageRewriter(BiFunction<String, Message, Message> alters) {
        tamper = alters;
    }

    void send(SimulatedNode from, Member sender, String address, Message original) {
        byte[] bytes = Codec.encode(tamper.apply(from.name(), original));
        from.countSent(bytes.length + FRAME_HEADER_BYTES);
        String to = nameByAddress.get(address);
        if (to == null || random.nextDouble() < loss || !linkFilter.test(from.name(), to)) {
            return;
        }
        long tookUs = delayUs / 2 + random.nextLong(delayUs) + extraDelayUs.applyAsLong(from.name(), to);
        underWay.add(new Delivery(clock.nowUs() + tookUs, nextOrder++, from.name(), to, sender, bytes));
    }

    /**
     * Hands over all messages that are due. What reaches a paused node waits, as in its kernel's buffers, and arrives a
     * step after it wakes.
     *
     * @param received told of each node that has taken in a message
     */
    void deliverDue(long stepUs, Consumer<SimulatedNode> received) {
        long nowUs = clock.nowUs();
        while (!underWay.isEmpty() && underWay.peek().dueUs <= nowUs) {
            Delivery delivery = underWay.poll();
            SimulatedNode to = nodes.get(delivery.to);
            if (!to.isUp() || !linkFilter.test(delivery.from, delivery.to)) {
                continue;
            }
            if (to.isPaused(nowUs)) {
                underWay.add(delivery.postponed(to.pausedUntilUs() + stepUs, nextOrder++));
                continue;
            }
            to.receive(delivery.sender, delivery.bytes, nowUs);
            received.accept(to);
        }
    }
}
