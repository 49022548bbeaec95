/**
 * All decisions of one gateway: admission, queueing, the choice of a backend, retries, and what each final answer may
 * promise. {@link hopdrum.policy.Policy} is the entry; nothing here does I/O or reads a clock but by the host.
 */
package hopdrum.policy;
