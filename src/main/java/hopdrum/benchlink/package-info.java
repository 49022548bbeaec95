/**
 * The binary protocol of the bench on standard input and output. {@link hopdrum.benchlink.BenchLink} reads batches of
 * events. Each instance in a batch is a gateway with its own {@link hopdrum.policy.Policy}, and the actions of the
 * policies are written as one reply per batch. Single-threaded; the only clock is that of the batches, in microseconds.
 */
package hopdrum.benchlink;
