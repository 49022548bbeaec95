/**
 * Fleet membership: failure detection, settled views, and the leases that allow a member to act on its view.
 *
 * <p>{@link hopdrum.fleet.view.Membership} is one member's part and the entry point. Below it,
 * {@link hopdrum.fleet.view.FailureDetector} (SWIM with Lifeguard) detects quickly, but only approximately, who is present;
 * {@link hopdrum.fleet.view.ViewConsensus} (single-decree Paxos for each view number) agrees, rarely but exactly, on the
 * settled view; {@link hopdrum.fleet.view.ViewLease} limits how long this member may act on it.
 *
 * <p>Nothing here does I/O or blocks: messages leave by {@link hopdrum.fleet.view.MessageSender}, votes are made durable by
 * {@link hopdrum.fleet.view.DurableStateWriter}, decisions go to {@link hopdrum.fleet.view.DecisionLog}. No class is
 * thread-safe: the owner calls Membership, and all that it hands out, under one lock, or in virtual time. Times are
 * microseconds of one monotonic clock.
 */
package hopdrum.fleet.view;
