/**
 * Plays trials: starts several real front door processes on one machine, injects faults into them, into the links
 * between them and into the platform services around them, and has the logs checked at the end. docs/trials.md
 * describes trial files.
 *
 * <p>{@link hopdrum.rig.trial.Trial} is the command line and the entry point of tests. The other classes by concern:
 * the trial file ({@code TrialFile}, {@code TrialFileParser}, {@code RandomFaults}), the schedule ({@code TrialRun}),
 * fault injection ({@code FaultInjector}, {@code FaultInjectingProxy}, {@code DelayingProxy}), processes
 * ({@code FrontDoorProcesses}, {@code FrontDoorConfiguration}), stand-ins for the platform ({@code PlatformStandIns},
 * {@code CounterStandIns}), clients ({@code LoadGenerator}) and the event log ({@code EventJournal}). All threads are
 * daemons, so that none keeps the trial's process alive.
 */
package hopdrum.rig.trial;
