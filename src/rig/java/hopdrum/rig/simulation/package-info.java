/**
 * Simulations of whole fleets in virtual time, in one thread and from one seed: the product's membership, consensus and
 * shard code on a simulated network, simulated disks and a simulated clock. Tests use {@link
 * hopdrum.rig.simulation.FleetSimulation} directly; the report classes print the tables of docs/fleet.md and
 * docs/shards.md.
 */
package hopdrum.rig.simulation;
