/**
 * A fleet of front doors that know of each other: membership, settled views, leases, shard assignment and the latency map,
 * started by {@code serve --fleet FILE}. {@link hopdrum.fleet.Fleet} runs one member and publishes what its front door
 * reads; the sub-packages do not import this one. Times are microseconds of the machine's monotonic clock unless a name
 * says milliseconds.
 */
package hopdrum.fleet;
