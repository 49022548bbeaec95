package hopdrum.policy.quota;

/** What another gateway has read of a customer's count: the units that remain, and when this gateway was told. */
record PeerReading(double remainingUnits, long atUs) {}
