/**
 * The state that the policy classes of one gateway share: settings, host, clock, timers and the source of randomness.
 */
package hopdrum.policy.context;
