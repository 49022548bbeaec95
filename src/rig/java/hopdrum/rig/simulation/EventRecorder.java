package hopdrum.rig.simulation;

import hopdrum.fleet.view.FleetTiming;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Receives the nodes' log events: records them on request, and counts how often live members were declared dead. */
final class EventRecorder {
    private static final String MEMBER_EVENT = "member";
    private static final String DEAD = "DEAD";
    // Indexes of values in the key-value pairs of a member event: the member concerned, its start, its state, and the
    // member that declared the state.
    private static final int SUBJECT_INDEX = 1;
    private static final int START_INDEX = 3;
    private static final int STATE_INDEX = 5;
    private static final int OBSERVER_INDEX = 7;

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

    /** Records all events from now on. */
    void recordEvents() {
        recording = true;
    }

    /** Returns the events since {@link #recordEvents()}, one string each: time, node, event and its pairs. */
    List<String> events() {
        return Collections.unmodifiableList(events);
    }

    /**
     * Returns how often each member was declared dead by mistake, by name: while its process was up and had run without
     * a pause for at least the minimum suspicion time. Each observer that declares a member dead counts.
     */
    Map<String, Integer> falsePositives() {
        return Collections.unmodifiableMap(falsePositives);
    }

    /** Removes all counts of {@link #falsePositives()}. */
    void clearFalsePositives() {
        falsePositives.clear();
    }

    /**
     * Handles a log event of a node.
     *
     * @param observer the node that logs the event
     * @param event the event's name
     * @param pairs the event's keys and values in turn
     */
    void onEvent(SimulatedNode observer, String event, Object... pairs) {
        if (recording) {
            events.add(clock.nowUs() + " " + observer.name() + " " + event + " " + List.of(pairs));
        }
        if (event.equals(MEMBER_EVENT)
                && pairs[STATE_INDEX].equals(DEAD)
                && pairs[OBSERVER_INDEX].equals(observer.name())) {
            SimulatedNode subject = nodes.get((String) pairs[SUBJECT_INDEX]);
            if (subject.isUp()
                    && subject.self().start() == (long) pairs[START_INDEX]
                    && subject.pausedUntilUs() + timing.minSuspicionUs() <= clock.nowUs()) {
                falsePositives.merge(subject.name(), 1, Integer::sum);
            }
        }
    }
}
