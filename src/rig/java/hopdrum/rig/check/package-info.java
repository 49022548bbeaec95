/**
 * Verifies a finished trial from its logs: which invariants held, which expectations of the trial file were met.
 *
 * <p>{@link hopdrum.rig.check.TrialChecker} is the entry point. It reads {@code rig.jsonl} (events recorded by the rig)
 * and one {@code NAME.jsonl} per front door, and runs one checker class per subject over them. The package imports
 * nothing from the program under test and depends only on the log format described in docs/trials.md. The checker and
 * the program therefore cannot share a fault. All times are microseconds of the machine's monotonic clock unless a name
 * says otherwise.
 */
package hopdrum.rig.check;
