package hopdrum.policy.quota;

/**
 * Encodes names on the counter: the number of an epoch and the customer's key. An epoch is as long as the counter keeps
 * a name. Epochs begin at a different time for each customer, so that new names are not all created at once.
 */
final class CounterName {
    static final long EPOCH_US = 60_000_000;

    private static final int CUSTOMER_BITS = 33;

    private CounterName() {}

    static long nameAt(long nowUs, long customer) {
        return ((nowUs + epochOffsetUs(customer)) / EPOCH_US) << CUSTOMER_BITS | customer;
    }

    static long customerOf(long name) {
        return name & ((1L << CUSTOMER_BITS) - 1);
    }

    /** Returns the microseconds since the epoch of a name began for its customer. */
    static long ageUs(long name, long nowUs, long customer) {
        return nowUs + epochOffsetUs(customer) - (name >>> CUSTOMER_BITS) * EPOCH_US;
    }

    private static long epochOffsetUs(long customer) {
        return Long.remainderUnsigned(customer * 0x9E3779B97F4A7C15L, EPOCH_US);
    }
}
