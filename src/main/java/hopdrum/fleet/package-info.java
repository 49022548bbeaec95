/**
 * A fleet of front doors: membership, settled views, leases and the latency map of front doors that know of each other,
 * started by {@code serve --fleet FILE}. {@link hopdrum.fleet.Fleet} runs one member; {@link hopdrum.fleet.FleetFile}
 * and {@link hopdrum.fleet.TermsFile} read its files. Times are microseconds of the machine's monotonic clock unless a
 * name says milliseconds.
 */
package hopdrum.fleet;
