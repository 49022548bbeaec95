package hopdrum;

import hopdrum.fleet.Fleet;
import hopdrum.fleet.FleetFile;
import hopdrum.frontdoor.lifecycle.Server;
import java.io.IOException;
import java.nio.file.Path;

/** A front door as one of a fleet. A plain serve loads nothing of this. */
final class FleetServer {
    private FleetServer() {
    }

    static int serve(String configFile, String fleetFile) {
        FleetFile file;
        try {
            file = FleetFile.read(Path.of(fleetFile));
        } catch (FleetFile.Faulty | IllegalArgumentException e) {
            System.err.println("hopdrum serve: the fleet's file cannot be used\n" + e.getMessage());
            return 1;
        }
        return Server.serve(configFile, (config, loop, door) -> {
            Fleet fleet = Fleet.start(file, config.settings().ordinal(), config.seed(), loop.offsetUs());
            fleet.zones(config.zones());
            door.knows(fleet, fleet::distances);
            return new Server.Beside() {
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
}
