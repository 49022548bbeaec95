/**
 * Fleet membership: failure detection, settled views, and the leases that allow a member to act on its view.
 *
 * <p>{@link hopdrum.fleet.view.Membership} represents one member and is the entry point. It uses
 * {@link hopdrum.fleet.view.FailureDetector} (SWIM with Lifeguard), which detects quickly, but only approximately,
 * which members are present; {@link hopdrum.fleet.view.ViewConsensus} (single-decree Paxos for each view number), which
 * agrees on the settled view exactly, but changes it rarely; and {@link hopdrum.fleet.view.ViewLease}, which limits how
 * long this member may act on the settled view.
 *
 * <p>Nothing in this package does I/O or blocks: {@link hopdrum.fleet.view.MessageSender} sends messages,
 * {@link hopdrum.fleet.view.DurableStateWriter} makes votes durable, {@link hopdrum.fleet.view.DecisionLog} records
 * decisions. No class is thread-safe: the owner calls Membership, and every object that Membership returns, under one
 * lock, or in virtual time. Times are microseconds of one monotonic clock.
 */
package hopdrum.fleet.view;
