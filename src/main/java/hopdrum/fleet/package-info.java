/**
 * A fleet of front doors, which {@code serve --fleet FILE} joins: membership, settled views, leases, shard assignment
 * and the latency map. {@link hopdrum.fleet.Fleet} runs one member and publishes the snapshots that its front door
 * reads. The sub-packages do not import this package. Times are microseconds of the machine's monotonic clock unless a
 * name says milliseconds.
 */
package hopdrum.fleet;
