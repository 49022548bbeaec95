/**
 * The command line. {@link hopdrum.Main} runs the commands: a front door, alone or as a member of a fleet, the training
 * run of the build, and the link to the bench.
 */
package hopdrum;
