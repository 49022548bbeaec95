/**
 * The choice of a backend: the endpoint list, concurrency limits, outlier ejection, slow start and learned response
 * times. Independent of quotas and of the life cycle of requests.
 */
package hopdrum.policy.backends;
