package hopdrum.rig.trial;

import hopdrum.rig.trial.TrialFile.FrontDoor;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The environment of the processes of one trial: their ports, the proxies in front of them and the stand-ins for each
 * operator's platform. It is complete before any process starts; afterwards only the port reservations change, in the
 * trial's thread.
 */
final class Testbed implements AutoCloseable {
    private final TrialFile file;
    private final NetworkFaults network = new NetworkFaults();
    private final PortReservations ports = new PortReservations();
    private final Map<String, List<String>> tiers = new LinkedHashMap<>();
    private final Map<String, PlatformStandIns> platforms = new LinkedHashMap<>(); // by operator
    private final Map<String, Integer> fleetPorts = new LinkedHashMap<>(); // by front door, as the maps below
    private final Map<String, Integer> clientPorts = new LinkedHashMap<>();
    private final Map<String, FaultInjectingProxy> fleetProxies = new LinkedHashMap<>();
    private final Map<String, DelayingProxy> forwardingProxies = new LinkedHashMap<>();

    private Testbed(TrialFile file) {
        this.file = file;
    }

    /**
     * Opens all sockets.
     *
     * @throws IOException if a socket cannot be opened; all others are closed then
     */
    static Testbed open(TrialFile file, long seed, EventJournal journal) throws IOException {
        Testbed testbed = new Testbed(file);
        try {
            testbed.openPlatforms(journal);
            testbed.openProxies(seed);
        } catch (IOException e) {
            testbed.close();
            throw e;
        }
        return testbed;
    }

    private void openPlatforms(EventJournal journal) throws IOException {
        for (FrontDoor frontDoor : file.frontDoors()) {
            tiers.computeIfAbsent(frontDoor.operator(), operator -> new ArrayList<>())
                    .add(frontDoor.name());
        }
        for (String operator : tiers.keySet()) {
            platforms.put(operator, new PlatformStandIns(operator, file.sites(), file.backends(), journal));
        }
        for (FrontDoor frontDoor : file.frontDoors()) {
            platforms.get(frontDoor.operator()).discoveryPortFor(frontDoor.name(), frontDoor.site());
        }
    }

    private void openProxies(long seed) throws IOException {
        for (FrontDoor frontDoor : file.frontDoors()) {
            String name = frontDoor.name();
            fleetPorts.put(name, ports.reserve());
            clientPorts.put(name, ports.reserve());
            if (file.shards().isUsed()) {
                forwardingProxies.put(name, new DelayingProxy(clientPorts.get(name)));
            }
            long proxySeed = seed + fleetProxies.size();
            fleetProxies.put(
                    name, new FaultInjectingProxy(frontDoor.memberName(), fleetPorts.get(name), network, proxySeed));
        }
    }

    TrialFile file() {
        return file;
    }

    NetworkFaults network() {
        return network;
    }

    PortReservations ports() {
        return ports;
    }

    /** Returns the names of each operator's front doors, in the order of their ordinals. */
    Map<String, List<String>> tiers() {
        return tiers;
    }

    Collection<PlatformStandIns> platforms() {
        return platforms.values();
    }

    /** Returns the platform of a front door's operator. */
    PlatformStandIns platformOf(FrontDoor frontDoor) {
        return platforms.get(frontDoor.operator());
    }

    /** Returns the platform of a front door's operator. */
    PlatformStandIns platformOf(String frontDoor) {
        return platformOf(file.frontDoor(frontDoor));
    }

    /** Returns the port on which a front door's process listens for the fleet, behind its proxy. */
    int fleetPort(String frontDoor) {
        return fleetPorts.get(frontDoor);
    }

    /** Returns the port on which a front door's process listens for clients. */
    int clientPort(String frontDoor) {
        return clientPorts.get(frontDoor);
    }

    /** Returns, by front door, the port on which its process listens for clients. */
    Map<String, Integer> clientPorts() {
        return clientPorts;
    }

    /** Returns the proxy in front of a front door's fleet address. */
    FaultInjectingProxy fleetProxy(String frontDoor) {
        return fleetProxies.get(frontDoor);
    }

    /**
     * Returns the proxy through which other front doors forward requests to a front door; null in a trial without
     * shards.
     */
    DelayingProxy forwardingProxy(String frontDoor) {
        return forwardingProxies.get(frontDoor);
    }

    @Override
    public void close() throws IOException {
        ports.close();
        for (FaultInjectingProxy proxy : fleetProxies.values()) {
            proxy.close();
        }
        for (PlatformStandIns platform : platforms.values()) {
            platform.close();
        }
        for (DelayingProxy proxy : forwardingProxies.values()) {
            proxy.close();
        }
    }
}
