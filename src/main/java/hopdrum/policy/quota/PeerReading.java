package hopdrum.policy.quota;

/**
 * Another gateway's reading of a customer's count.
 *
 * @param remainingUnits the units that remain
 * @param atUs when this gateway received the reading, in microseconds
 */
record PeerReading(double remainingUnits, long atUs) {}
