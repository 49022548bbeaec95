package hopdrum.policy.quota;

import hopdrum.host.CreditGossip;
import hopdrum.host.Outcome;
import hopdrum.policy.context.PolicyContext;
import java.util.LinkedHashMap;
import java.util.Map;

/** The quotas of all customers that this gateway has recently served; routes the counter's answers to them. */
public final class QuotaTable {
    private static final long PEER_READING_RETENTION_US = 2_000_000;
    // More than a gateway serves at a time; beyond, those that hold nothing but a reading give way.
    private static final int MAX_RETAINED_CUSTOMERS = 16_384;
    private static final int MAX_CUSTOMERS_TRIED = 4;

    private final PolicyContext context;
    private final CounterService counter;
    // An idle customer is removed by sweep(), one that can be forgotten by forgetOldestBeyondLimit(). Oldest first.
    private final Map<Long, CustomerQuota> customers = new LinkedHashMap<>();
    // Readings of customers that are not served here yet; an old one is removed by sweep().
    private final Map<Long, PeerReading> peerReadings = new LinkedHashMap<>();

    /** Creates a table without customers. */
    public QuotaTable(PolicyContext context) {
        this.context = context;
        this.counter = new CounterService(context);
    }

    /**
     * Returns the quota of a customer, created at the customer's first request.
     *
     * @param key the customer's key
     * @param plan the index of the customer's plan in the settings
     * @param firstGateway the number of the first gateway that serves this customer
     * @param gateways the number of consecutive gateways that serve this customer
     */
    public CustomerQuota quotaOf(long key, int plan, int firstGateway, int gateways) {
        CustomerQuota customer = customers.computeIfAbsent(
                key,
                k -> new CustomerQuota(
                        context, counter, k, context.settings().plans().get(plan), firstGateway, gateways));
        forgetOldestBeyondLimit();
        PeerReading reading = peerReadings.remove(key);
        if (reading != null) {
            customer.applyUpperBound(reading);
        }
        return customer;
    }

    /** Protects the memory against requests of ever new customers. Those that cannot be forgotten yet are kept. */
    private void forgetOldestBeyondLimit() {
        for (int i = 0; i < MAX_CUSTOMERS_TRIED && customers.size() > MAX_RETAINED_CUSTOMERS; i++) {
            Map.Entry<Long, CustomerQuota> oldest =
                    customers.entrySet().iterator().next();
            customers.remove(oldest.getKey());
            if (!oldest.getValue().canBeForgotten()) {
                customers.put(oldest.getKey(), oldest.getValue());
            }
        }
    }

    /** Returns true while calls are limited and none can be spared. */
    public boolean areCallsScarce() {
        return counter.pacer.callsAreScarce();
    }

    /** Returns true if a call may be made now. */
    public boolean mayCallCounter() {
        return counter.pacer.mayCall();
    }

    /**
     * Handles the end of a call on the counter; returns true if the call was made by a customer in this table.
     *
     * @param total the total of the name after the call, if the outcome is OK
     * @param tookUs the duration of the call in microseconds
     */
    public boolean counterAnswered(long name, Outcome outcome, double total, long tookUs) {
        CustomerQuota customer = customers.get(CounterName.customerOf(name));
        CounterCall call = customer == null ? null : customer.takeCall(name);
        if (call == null) {
            return false;
        }
        if (outcome == Outcome.OK) {
            call.settled = true;
            if (counter.responseTimes.timeSinceLastAnswerUs() > CounterResponseTimes.OUTAGE_US) {
                customers.values().forEach(CustomerQuota::forgetRefilledDebt);
            }
            counter.responseTimes.recordAnswer(tookUs);
            counter.pacer.callAnswered(tookUs);
            customer.callAnswered(call, total);
        } else {
            boolean isAnswer = outcome == Outcome.UNREADABLE || outcome == Outcome.RESET;
            boolean isBrokenConnection = outcome == Outcome.CONNECT_FAILED && counter.isAnswering();
            // Neither outcome shows that the counter is overloaded.
            if (!isAnswer && !isBrokenConnection) {
                counter.pacer.callLost();
            }
            customer.callFailed(call, outcome, isAnswer);
        }
        return true;
    }

    /**
     * Handles a message with another gateway's reading; a malformed one, or one that leaves room for a request, is
     * dropped.
     */
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
            customer.applyUpperBound(reading);
        }
    }

    /** Removes idle customers and old readings of peers. */
    public void sweep() {
        long nowUs = context.nowUs();
        peerReadings.values().removeIf(reading -> nowUs > reading.atUs() + PEER_READING_RETENTION_US);
        customers.values().removeIf(CustomerQuota::isIdle);
    }
}
