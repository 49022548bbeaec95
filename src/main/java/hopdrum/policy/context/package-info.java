/** What the classes that decide for one gateway share: settings, host, clock, timers and the source of randomness. */
package hopdrum.policy.context;
