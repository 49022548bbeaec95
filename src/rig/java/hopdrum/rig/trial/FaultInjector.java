package hopdrum.rig.trial;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** Applies the steps of a trial file: starts and ends faults of processes, links, sites and the platform. */
final class FaultInjector {
    private static final double DEFAULT_BYTES_PER_SECOND = 100;

    private final Testbed testbed;
    private final FrontDoorProcesses processes;
    private final SiteFaults siteFaults;
    private final LogWatcher logWatcher;
    private final Path outputFolder;

    FaultInjector(
            Testbed testbed,
            FrontDoorProcesses processes,
            SiteFaults siteFaults,
            LogWatcher logWatcher,
            Path outputFolder) {
        this.testbed = testbed;
        this.processes = processes;
        this.siteFaults = siteFaults;
        this.logWatcher = logWatcher;
        this.outputFolder = outputFolder;
    }

    /** Applies one step. An expectation has no effect here: the checker reads it from the journal. */
    void apply(Step step) throws IOException, InterruptedException {
        switch (step.action()) {
            case START, KILL, TERM, PAUSE, WAKE -> applyToProcesses(step);
            case CUT, CUT_BOTH, DELAY, LOSE, DUPLICATE, HOLD, TRICKLE, RELEASE -> applyToLinks(step);
            case RESET -> {
                Set<String> members = Set.copyOf(step.frontDoorNames("from"));
                step.frontDoorNames("to")
                        .forEach(frontDoor -> testbed.fleetProxy(frontDoor).reset(members));
            }
            case LIE ->
                step.targets()
                        .forEach(frontDoor ->
                                testbed.network().falsifyLatencies(memberName(frontDoor), step.number("times", 1)));
            case HEAL -> {
                testbed.network().clear();
                siteFaults.heal();
            }
            case SLOW_SITE -> siteFaults.slowSite(step.text("site", ""), step.number("times", 1));
            case LOSE_SITE -> siteFaults.loseSite(step.text("site", ""));
            case LOSE_PASSING, COUNTER -> applyToPlatform(step);
            case AMEND -> TermsFiles.write(outputFolder, step.targets().get(0), step.terms());
            case AWAIT_REVISION -> logWatcher.awaitRevision(step.targets().get(0));
            default -> {} // The checker evaluates expectations.
        }
    }

    private void applyToProcesses(Step step) throws IOException {
        for (String frontDoor : step.targets()) {
            switch (step.action()) {
                case START -> processes.start(frontDoor, StoreState.ofKey(step.text("store", "kept")));
                case KILL -> processes.kill(frontDoor);
                case TERM -> processes.startTerminating(frontDoor);
                case PAUSE -> processes.pause(frontDoor);
                case WAKE -> processes.resume(frontDoor);
                default -> throw new IllegalArgumentException("not an action on processes: " + step);
            }
        }
    }

    private void applyToLinks(Step step) {
        List<String> from = step.frontDoorNames("from");
        List<String> to = step.frontDoorNames("to");
        switch (step.action()) {
            case CUT -> changeLinks(from, to, LinkFaults::partition);
            case CUT_BOTH -> changeLinksBothWays(from, to, LinkFaults::partition);
            case DELAY -> changeLinksBothWays(from, to, link -> link.setDelay((long) (1_000 * step.number("ms", 0))));
            case LOSE -> changeLinksBothWays(from, to, link -> link.setLossRate(step.number("percent", 0) / 100));
            case DUPLICATE ->
                changeLinksBothWays(from, to, link -> link.setDuplicationRate(step.number("percent", 0) / 100));
            case HOLD -> changeLinksBothWays(from, to, LinkFaults::hold);
            case TRICKLE ->
                changeLinksBothWays(
                        from,
                        to,
                        link -> link.setBandwidth((long) step.number("bytes_a_second", DEFAULT_BYTES_PER_SECOND)));
            case RELEASE -> changeLinksBothWays(from, to, LinkFaults::clear);
            default -> throw new IllegalArgumentException("not an action on links: " + step);
        }
    }

    private void applyToPlatform(Step step) {
        for (String frontDoor : step.targets()) {
            if (step.action() == StepAction.COUNTER) {
                CounterState state = CounterState.ofKey(step.text("is", "well"));
                testbed.platformOf(frontDoor).counter().setState(frontDoor, state);
            } else if (step.flag("now")) {
                testbed.forwardingProxy(frontDoor).block();
            } else {
                testbed.forwardingProxy(frontDoor).unblock();
            }
        }
    }

    private void changeLinks(List<String> from, List<String> to, Consumer<LinkFaults> change) {
        for (String sender : from) {
            for (String receiver : to) {
                if (!sender.equals(receiver)) {
                    change.accept(testbed.network().linkFaults(memberName(sender), memberName(receiver)));
                }
            }
        }
    }

    private void changeLinksBothWays(List<String> from, List<String> to, Consumer<LinkFaults> change) {
        changeLinks(from, to, change);
        changeLinks(to, from, change);
    }

    /** Returns the name under which a front door is a member of the fleet. */
    private String memberName(String frontDoor) {
        return testbed.file().frontDoor(frontDoor).memberName();
    }
}
