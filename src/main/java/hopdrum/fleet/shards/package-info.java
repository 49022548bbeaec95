/**
 * Sharing of customers with partner operators, by shards: the negotiation of agreements, the shard assignment rule that
 * each voter applies to a settled view, the shard leases and hand-over that keep any shard from having two owners, and
 * the shard table that the front door reads. docs/shards.md describes the protocol.
 */
package hopdrum.fleet.shards;
