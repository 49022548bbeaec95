/**
 * The files of a fleet member: the fleet file that {@code serve --fleet} names, and the operator's terms file. Both are
 * read whole, and all faults are reported together with their lines.
 */
package hopdrum.fleet.config;
