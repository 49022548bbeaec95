package hopdrum;

import hopdrum.fleet.Fleet;
import hopdrum.fleet.config.FleetFile;
import hopdrum.fleet.config.InvalidFileException;
import hopdrum.fleet.config.TermsFile;
import hopdrum.fleet.shards.AgreementTerms;
import hopdrum.frontdoor.FrontDoor;
import hopdrum.frontdoor.lifecycle.Server;
import java.io.IOException;
import java.nio.file.Path;

/** A front door as one of a fleet. A plain serve loads nothing of this. */
final class FleetServer {
    private FleetServer() {}

    static int serve(String configFile, String fleetFile) {
        FleetFile file;
        AgreementTerms terms;
        long termsMs;
        try {
            file = FleetFile.read(Path.of(fleetFile));
            termsMs = file.terms() == null ? 0 : file.terms().toFile().lastModified(); // before it is read
            terms = file.terms() == null ? AgreementTerms.NONE : TermsFile.read(file.terms());
        } catch (InvalidFileException | IllegalArgumentException e) {
            System.err.println("hopdrum serve: the fleet's file cannot be used\n" + e.getMessage());
            return 1;
        }
        return Server.serve(configFile, (config, loop) -> {
            Fleet fleet =
                    Fleet.start(file, terms, termsMs, config.settings().ordinal(), config.seed(), loop.offsetUs());
            fleet.setBackendZones(config.zones());
            return new Server.Beside() {
                @Override
                public void serves(FrontDoor door) {
                    door.setFleet(fleet, fleet::zoneLatencies);
                    if (fleet.sharesCustomers()) {
                        door.setShardOwnership(fleet::shards);
                        fleet.setPartnerEndpointListener(
                                (tier, there) -> loop.ask(() -> door.updatePartners(tier, there)));
                    }
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
}
