package hopdrum.rig.simulation;

import hopdrum.fleet.view.FleetTiming;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Takes the nodes' log events: keeps them where asked to, and counts the members that were declared dead wrongly. */
final class EventRecorder {
    private static final String MEMBER_EVENT = "member";
    private static final String DEAD = "DEAD";
    // Positions of the values in the pairs of a member event: who, start, state and the member that says so.
    private static final int WHO = 1;
    private static final int START = 3;
    private static final int STATE = 5;
    private static final int SAID_BY = 7;

    private final SimulatedClock clock;
    private final FleetTiming timing;
    private final Map<String, SimulatedNode> nodes;
    private final List<String> events = new ArrayList<>();
    private final Map<String, Integer> falsePositives = new TreeMap<>();
    private boolean recording;

    EventRecorder(SimulatedClock clock, FleetTiming timing, Map<String, SimulatedNode> nodes) {
        this.clock = clock;
        this.timing = timing;
        this.nodes = nodes;
    }

    void recordEvents() {
        recording = true;
    }

    /** All events since {@link #recordEvents()}, one text each. */
    List<String> events() {
        return Collections.unmodifiableList(events);
    }

    /** How often each member was declared dead while it was up and had run for the suspicion time, by name. */
    Map<String, Integer> falsePositives() {
        return Collections.unmodifiableMap(falsePositives);
    }

    void clearFalsePositives() {
        falsePositives.clear();
    }

    void event(SimulatedNode observer, String event, Object... pairs) {
        if (recording) {
            events.add(clock.nowUs() + " " + observer.name() + " " + event + " " + List.of(pairs));
        }
        if (event.equals(MEMBER_EVENT) && pairs[STATE].equals(DEAD) && pairs[SAID_BY].equals(observer.name())) {
            SimulatedNode subject = nodes.get((String) pairs[WHO]);
            if (subject.isUp()
                    && subject.self().start() == (long) pairs[START]
                    && subject.pausedUntilUs() + timing.minSuspicionUs() <= clock.nowUs()) {
                falsePositives.merge(subject.name(), 1, Integer::sum);
            }
        }
    }
}
