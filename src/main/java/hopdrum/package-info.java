/**
 * The command line. {@link hopdrum.Main} has the commands: a front door that serves, alone or as one of a fleet, the
 * training run of the build, and the link to the bench.
 */
package hopdrum;
