/**
 * The configuration files of a fleet member: the fleet file, which {@code serve --fleet} names, and the operator's
 * terms file. All faults of a file are reported together, each with its line.
 */
package hopdrum.fleet.config;
