package hopdrum.policy.quota;

/**
 * Names on the counter: the number of the epoch and the customer's key. An epoch is the longest time that the counter
 * keeps a name. Epochs turn at another time for each customer, so that turns are never all at once.
 */
final class CounterName {
    static final long EPOCH_US = 60_000_000;

    private static final int CUSTOMER_BITS = 33;

    private CounterName() {}

    static long at(long nowUs, long customer) {
        return ((nowUs + stagger(customer)) / EPOCH_US) << CUSTOMER_BITS | customer;
    }

    static long customerOf(long name) {
        return name & ((1L << CUSTOMER_BITS) - 1);
    }

    /** The time since the epoch of a customer's name began, in microseconds. */
    static long ageUs(long name, long nowUs, long customer) {
        return nowUs + stagger(customer) - (name >>> CUSTOMER_BITS) * EPOCH_US;
    }

    private static long stagger(long customer) {
        return Long.remainderUnsigned(customer * 0x9E3779B97F4A7C15L, EPOCH_US);
    }
}
