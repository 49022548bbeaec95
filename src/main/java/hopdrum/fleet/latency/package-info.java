/**
 * The fleet's latency map: estimates of the round-trip times between sites. Each member measures the latencies from its
 * own site and shares its readings by gossip.
 */
package hopdrum.fleet.latency;
