/**
 * The quota of customers: admission by one count for each customer on the counter service, the pace of calls to it, and
 * the split leaky bucket that decides while it is silent or crowded. Knows nothing of backends.
 */
package hopdrum.policy.quota;
