/**
 * Customer quotas: admission by one count per customer on the counter service, the rate limit on calls to the counter,
 * and the leaky buckets, split between gateways, that decide while the counter is silent or overloaded. Independent of
 * backends.
 */
package hopdrum.policy.quota;
