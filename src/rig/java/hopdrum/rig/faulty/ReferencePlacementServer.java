package hopdrum.rig.faulty;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import hopdrum.fleet.Fleet;
import hopdrum.fleet.config.FleetFile;
import hopdrum.fleet.config.InvalidFileException;
import hopdrum.fleet.shards.AgreementTerms;
import hopdrum.frontdoor.FrontDoor;
import hopdrum.frontdoor.server.Companion;
import hopdrum.frontdoor.server.Server;
import hopdrum.host.ZoneLatencies;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Runs the product with another source of latencies than its latency map, as a reference for the map. The latencies are
 * either the delays that the rig injects, known at once, or zero for the front door's own site and very long for all
 * others, so that the own site always comes first. The fleet protocol runs as in the product.
 */
final class ReferencePlacementServer {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long LAST_CHOICE_US = 3_600_000_000L; // one hour; the zone is chosen last
    private static final long ROUND_TRIP_US_PER_ONE_WAY_MS = 2_000;
    private static final int POLL_INTERVAL_MS = 20;
    private static volatile ZoneLatencies latencies; // null until the injected delays are first read

    private ReferencePlacementServer() {}

    /**
     * Serves until the process is asked to end.
     *
     * @param fleetFile the fleet file of the front door
     * @param usesInjectedDelays whether requests are placed by the injected delays; otherwise the own site comes first
     * @return the exit code of the process
     * @throws IOException if the fleet file cannot be read or is invalid
     */
    static int serve(Path fleetFile, boolean usesInjectedDelays) throws IOException {
        FleetFile file;
        try {
            file = FleetFile.read(fleetFile);
        } catch (InvalidFileException e) {
            throw new IOException(e);
        }
        return Server.serve(System.getenv("LB_CONFIG"), (config, loop) -> {
            Fleet fleet = Fleet.start(
                    file, AgreementTerms.NONE, 0, config.settings().ordinal(), config.seed(), loop.monotonicOffsetUs());
            Path injectedDelaysFile = fleetFile.toAbsolutePath().getParent().resolveSibling("ways.json");
            Thread poller = new Thread(
                    () -> pollInjectedDelays(injectedDelaysFile, file.site(), config.zones(), usesInjectedDelays),
                    "true-latencies");
            poller.setDaemon(true);
            poller.start();
            return new Companion() {
                @Override
                public void frontDoorStarted(FrontDoor frontDoor) {
                    frontDoor.setFleetSuppliers(fleet, () -> latencies);
                }

                @Override
                public void shutdownRequested() {
                    fleet.leave();
                }

                @Override
                public void close() throws IOException {
                    fleet.close();
                }
            };
        });
    }

    private static void pollInjectedDelays(
            Path injectedDelaysFile, String site, List<String> zones, boolean usesInjectedDelays) {
        while (true) {
            try {
                JsonNode injectedDelays = JSON.readTree(Files.readAllBytes(injectedDelaysFile));
                latencies = new ZoneLatencies(zones.stream()
                        .mapToLong(zone -> latencyUs(injectedDelays, site, zone, usesInjectedDelays))
                        .toArray());
                Thread.sleep(POLL_INTERVAL_MS);
            } catch (IOException e) {
                // At the start of a trial, the rig may not have written the file yet.
                System.err.println("reference placement: reading the injected delays failed: " + e);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static long latencyUs(JsonNode injectedDelays, String site, String zone, boolean usesInjectedDelays) {
        if (injectedDelays.path("lost").path(zone).asBoolean()) {
            return LAST_CHOICE_US;
        }
        if (zone.equals(site)) {
            return 0;
        }
        double oneWayMs =
                injectedDelays.path("one_way_ms").path(site + "-" + zone).asDouble();
        return usesInjectedDelays ? (long) (ROUND_TRIP_US_PER_ONE_WAY_MS * oneWayMs) : LAST_CHOICE_US;
    }
}
