package hopdrum.rig.planted;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import hopdrum.fleet.Fleet;
import hopdrum.fleet.FleetFile;
import hopdrum.fleet.shards.Terms;
import hopdrum.frontdoor.FrontDoor;
import hopdrum.frontdoor.server.Companion;
import hopdrum.frontdoor.server.Server;
import hopdrum.host.ZoneLatencies;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The program with another source of distances than its map, to hold the map against: all ways as the rig makes them, at once;
 * or none but its own site's, so that the nearest always comes first. Its fleet runs beside as it does.
 */
final class Baseline {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long FAR_US = 3_600_000_000L;
    private static final int LOOK_MS = 20;
    private static volatile ZoneLatencies distances; // null until it is known

    private Baseline() {}

    static int serve(Path fleetFile, boolean allKnowing) throws IOException {
        FleetFile file;
        try {
            file = FleetFile.read(fleetFile);
        } catch (FleetFile.InvalidFileException e) {
            throw new IOException(e);
        }
        return Server.serve(System.getenv("LB_CONFIG"), (config, loop) -> {
            Fleet fleet = Fleet.start(file, Terms.NONE, 0, config.settings().ordinal(), config.seed(), loop.offsetUs());
            Path ways = fleetFile.toAbsolutePath().getParent().resolveSibling("ways.json");
            Thread looks = new Thread(() -> look(ways, file.site(), config.zones(), allKnowing), "ways");
            looks.setDaemon(true);
            looks.start();
            return new Companion() {
                @Override
                public void started(FrontDoor door) {
                    door.knows(fleet, () -> distances);
                }

                @Override
                public void stopping() {
                    fleet.leave();
                }

                @Override
                public void close() throws IOException {
                    fleet.close();
                }
            };
        });
    }

    private static void look(Path ways, String site, List<String> zones, boolean allKnowing) {
        while (true) {
            try {
                JsonNode truth = JSON.readTree(Files.readAllBytes(ways));
                long[] us = new long[zones.size()];
                for (int i = 0; i < us.length; i++) {
                    String zone = zones.get(i);
                    us[i] = zone.equals(site) && !truth.path("lost").path(zone).asBoolean()
                            ? 0
                            : !allKnowing || truth.path("lost").path(zone).asBoolean()
                                    ? FAR_US
                                    : (long) (2_000
                                            * truth.path("one_way_ms")
                                                    .path(site + "-" + zone)
                                                    .asDouble());
                }
                distances = new ZoneLatencies(us);
                Thread.sleep(LOOK_MS);
            } catch (IOException e) {
                System.err.println("baseline: " + e); // the rig is about to write it
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
