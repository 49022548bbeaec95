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
 * The product with another source of latencies than its map, which the map is compared with: the true ones as the rig makes
 * them, at once; or none but its own site's, so that the nearest site always comes first. Its fleet runs beside as it
 * does.
 */
final class ReferencePlacementServer {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long FAR_US = 3_600_000_000L;
    private static final long ROUND_TRIP_US_PER_ONE_WAY_MS = 2_000;
    private static final int POLL_MS = 20;
    private static volatile ZoneLatencies latencies; // null until they are known

    private ReferencePlacementServer() {}

    /**
     * Serves until the process is told to end.
     *
     * @param allKnowing whether it places by the true latencies; else the nearest site comes first
     * @return the exit code
     */
    static int serve(Path fleetFile, boolean allKnowing) throws IOException {
        FleetFile file;
        try {
            file = FleetFile.read(fleetFile);
        } catch (InvalidFileException e) {
            throw new IOException(e);
        }
        return Server.serve(System.getenv("LB_CONFIG"), (config, loop) -> {
            Fleet fleet = Fleet.start(
                    file, AgreementTerms.NONE, 0, config.settings().ordinal(), config.seed(), loop.monotonicOffsetUs());
            Path truthFile = fleetFile.toAbsolutePath().getParent().resolveSibling("ways.json");
            Thread poller =
                    new Thread(() -> pollTruth(truthFile, file.site(), config.zones(), allKnowing), "true-latencies");
            poller.setDaemon(true);
            poller.start();
            return new Companion() {
                @Override
                public void frontDoorStarted(FrontDoor door) {
                    door.setFleetSuppliers(fleet, () -> latencies);
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

    private static void pollTruth(Path truthFile, String site, List<String> zones, boolean allKnowing) {
        while (true) {
            try {
                JsonNode truth = JSON.readTree(Files.readAllBytes(truthFile));
                latencies = new ZoneLatencies(zones.stream()
                        .mapToLong(zone -> latencyUs(truth, site, zone, allKnowing))
                        .toArray());
                Thread.sleep(POLL_MS);
            } catch (IOException e) {
                System.err.println("reference placement: " + e); // the rig is about to write the file
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static long latencyUs(JsonNode truth, String site, String zone, boolean allKnowing) {
        if (truth.path("lost").path(zone).asBoolean()) {
            return FAR_US;
        }
        if (zone.equals(site)) {
            return 0;
        }
        double oneWayMs = truth.path("one_way_ms").path(site + "-" + zone).asDouble();
        return allKnowing ? (long) (ROUND_TRIP_US_PER_ONE_WAY_MS * oneWayMs) : FAR_US;
    }
}
