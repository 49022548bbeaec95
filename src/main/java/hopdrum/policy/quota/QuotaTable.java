package hopdrum.policy.quota;

import hopdrum.host.CreditGossip;
import hopdrum.host.Outcome;
import hopdrum.policy.context.PolicyContext;
import java.util.LinkedHashMap;
import java.util.Map;

/** The quotas of all customers that this gateway serves of late, and the way of the counter's answers to them. */
public final class QuotaTable {
    private static final long PEER_READING_KEPT_US = 2_000_000;

    private final PolicyContext context;
    private final CounterService counter;
    private final Map<Long, CustomerQuota> customers = new LinkedHashMap<>(); // emptied by sweep() when idle
    private final Map<Long, PeerReading> peerReadings = new LinkedHashMap<>(); // of customers not seen here; by sweep()

    /** A table without customers. */
    public QuotaTable(PolicyContext context) {
        this.context = context;
        this.counter = new CounterService(context);
    }

    /** The quota of a customer; kept from its first request on. Its gateways are so many in a row from the first. */
    public CustomerQuota customer(long key, int plan, int firstGateway, int gateways) {
        CustomerQuota customer = customers.computeIfAbsent(
                key,
                k -> new CustomerQuota(
                        context, counter, k, context.settings().plans().get(plan), firstGateway, gateways));
        PeerReading reading = peerReadings.remove(key);
        if (reading != null) {
            customer.limitTo(reading);
        }
        return customer;
    }

    /** True while calls are paced and there is none to spare. */
    public boolean areCallsScarce() {
        return counter.pacer.callsAreScarce();
    }

    /** True if a call may be made now. */
    public boolean mayCallCounter() {
        return counter.pacer.mayCall();
    }

    /** A call on the counter has ended; true if it was one of this gateway's. */
    public boolean counterAnswered(long name, Outcome outcome, double total, long tookUs) {
        CustomerQuota customer = customers.get(CounterName.customerOf(name));
        CounterCall call = customer == null ? null : customer.takeCall(name);
        if (call == null) {
            return false;
        }
        if (outcome == Outcome.OK) {
            call.settled = true;
            if (counter.responseTimes.silentForUs() > CounterResponseTimes.OUTAGE_US) {
                customers.values().forEach(CustomerQuota::forgetRefilledDebt);
            }
            counter.responseTimes.answered(tookUs);
            counter.pacer.answered(tookUs);
            customer.answered(call, total);
        } else {
            boolean isAnswer = outcome == Outcome.UNREADABLE || outcome == Outcome.RESET;
            boolean isBrokenConnection = outcome == Outcome.CONNECT_FAILED && counter.isAnswering();
            if (!isAnswer && !isBrokenConnection) { // neither shows that the counter is crowded
                counter.pacer.lost();
            }
            customer.failed(call, outcome, isAnswer);
        }
        return true;
    }

    /** Another gateway's reading; what is no reading, or leaves room for a request, is dropped. */
    public void gossipReceived(byte[] message) {
        CreditGossip gossip = CreditGossip.decode(message);
        if (gossip == null || gossip.remainingUnits() >= 1) {
            return;
        }
        CustomerQuota customer = customers.get(gossip.customer());
        PeerReading reading = new PeerReading(gossip.remainingUnits(), context.nowUs());
        if (customer == null) {
            peerReadings.put(gossip.customer(), reading);
        } else {
            customer.limitTo(reading);
        }
    }

    /** Drops customers that are idle and peers' readings that are old. */
    public void sweep() {
        long nowUs = context.nowUs();
        peerReadings.values().removeIf(reading -> nowUs > reading.atUs() + PEER_READING_KEPT_US);
        customers.values().removeIf(CustomerQuota::isIdle);
    }
}
