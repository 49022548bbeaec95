/**
 * The fleet's latency map: round-trip time estimates between sites, measured by each member from its own site and
 * shared by gossip, merged so that any order, loss or repeat of messages gives the same map.
 */
package hopdrum.fleet.latency;
