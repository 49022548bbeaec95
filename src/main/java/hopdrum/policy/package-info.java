/**
 * The decisions of one gateway: admission, queueing, the choice of a backend, retries, and what each final answer may
 * promise. {@link hopdrum.policy.Policy} is the entry point. This package does I/O and reads the clock only through its
 * host.
 */
package hopdrum.policy;
