/**
 * The choice of a backend: the endpoint list, concurrency limits, outlier ejection, slow start and what is learned of
 * response times. Knows nothing of quotas or of the request's life cycle.
 */
package hopdrum.policy.backends;
