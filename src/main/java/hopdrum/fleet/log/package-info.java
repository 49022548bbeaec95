/** The decision log of one fleet member: JSON lines, rate-limited where other processes can cause them. */
package hopdrum.fleet.log;
