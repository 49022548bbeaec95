package hopdrum.rig.trial;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** Does what the steps of a trial file say: faults of processes, links, sites and the platform, and their ends. */
final class FaultInjector {
    private static final double DEFAULT_BYTES_PER_SECOND = 100;

    private final Testbed testbed;
    private final DoorProcesses processes;
    private final SiteFaults sites;
    private final LogWatcher logs;
    private final Path out;

    FaultInjector(Testbed testbed, DoorProcesses processes, SiteFaults sites, LogWatcher logs, Path out) {
        this.testbed = testbed;
        this.processes = processes;
        this.sites = sites;
        this.logs = logs;
        this.out = out;
    }

    /** Does one step; an expectation does nothing, the checker reads it from the journal. */
    void apply(Step step) throws IOException, InterruptedException {
        switch (step.action()) {
            case START, KILL, TERM, PAUSE, WAKE -> applyToProcesses(step);
            case CUT, CUT_BOTH, DELAY, LOSE, DUPLICATE, HOLD, TRICKLE, RELEASE -> applyToLinks(step);
            case RESET -> {
                Set<String> members = Set.copyOf(step.names("from"));
                step.names("to").forEach(door -> testbed.fleetProxy(door).reset(members));
            }
            case LIE ->
                step.targets()
                        .forEach(door -> testbed.network().falsifyLatencies(memberName(door), step.number("times", 1)));
            case HEAL -> {
                testbed.network().clear();
                sites.heal();
            }
            case SLOW_SITE -> sites.slowSite(step.text("site", ""), step.number("times", 1));
            case LOSE_SITE -> sites.loseSite(step.text("site", ""));
            case LOSE_PASSING, COUNTER -> applyToPlatform(step);
            case AMEND -> TermsFiles.write(out, step.targets().get(0), step.terms());
            case AWAIT_REVISION -> logs.awaitRevision(step.targets().get(0));
            default -> {} // an expectation
        }
    }

    private void applyToProcesses(Step step) throws IOException {
        for (String door : step.targets()) {
            switch (step.action()) {
                case START -> processes.start(door, StoreState.ofKey(step.text("store", "kept")));
                case KILL -> processes.kill(door);
                case TERM -> processes.startTerminating(door);
                case PAUSE -> processes.pause(door);
                case WAKE -> processes.resume(door);
                default -> throw new IllegalArgumentException("not about processes: " + step);
            }
        }
    }

    private void applyToLinks(Step step) {
        List<String> from = step.names("from");
        List<String> to = step.names("to");
        switch (step.action()) {
            case CUT -> oneWay(from, to, LinkFaults::partition);
            case CUT_BOTH -> bothWays(from, to, LinkFaults::partition);
            case DELAY -> bothWays(from, to, link -> link.delay((long) (1_000 * step.number("ms", 0))));
            case LOSE -> bothWays(from, to, link -> link.lose(step.number("percent", 0) / 100));
            case DUPLICATE -> bothWays(from, to, link -> link.duplicate(step.number("percent", 0) / 100));
            case HOLD -> bothWays(from, to, LinkFaults::hold);
            case TRICKLE ->
                bothWays(
                        from,
                        to,
                        link -> link.throttle((long) step.number("bytes_a_second", DEFAULT_BYTES_PER_SECOND)));
            case RELEASE -> bothWays(from, to, LinkFaults::clear);
            default -> throw new IllegalArgumentException("not about links: " + step);
        }
    }

    private void applyToPlatform(Step step) {
        for (String door : step.targets()) {
            if (step.action() == StepAction.COUNTER) {
                CounterState state = CounterState.ofKey(step.text("is", "well"));
                testbed.platformOf(door).counter().set(door, state);
            } else if (step.flag("now")) {
                testbed.forwardingProxy(door).lose();
            } else {
                testbed.forwardingProxy(door).restore();
            }
        }
    }

    private void oneWay(List<String> from, List<String> to, Consumer<LinkFaults> change) {
        for (String sender : from) {
            for (String receiver : to) {
                if (!sender.equals(receiver)) {
                    change.accept(testbed.network().between(memberName(sender), memberName(receiver)));
                }
            }
        }
    }

    private void bothWays(List<String> from, List<String> to, Consumer<LinkFaults> change) {
        oneWay(from, to, change);
        oneWay(to, from, change);
    }

    /** The name that a door has in the fleet. */
    private String memberName(String door) {
        return testbed.file().door(door).answersTo();
    }
}
