/** The decision log of one fleet member: JSON lines, rate-limited where others can cause them. */
package hopdrum.fleet.log;
