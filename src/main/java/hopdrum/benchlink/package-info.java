/**
 * The bench's binary protocol on standard input and output. {@link hopdrum.benchlink.BenchLink} reads batches of events,
 * each instance in a batch is a gateway with a {@link hopdrum.policy.Policy} of its own, and the policies' actions are
 * written as one reply a batch. Single-threaded; the only clock is the batch's, in microseconds.
 */
package hopdrum.benchlink;
