package hopdrum;

import hopdrum.fleet.Fleet;
import hopdrum.fleet.config.FleetFile;
import hopdrum.fleet.config.InvalidFileException;
import hopdrum.fleet.config.TermsFile;
import hopdrum.fleet.shards.AgreementTerms;
import hopdrum.frontdoor.FrontDoor;
import hopdrum.frontdoor.lifecycle.EventLoop;
import hopdrum.frontdoor.server.Companion;
import hopdrum.frontdoor.server.Server;
import java.io.IOException;
import java.nio.file.Path;

/** A front door as one of a fleet. A plain serve loads nothing of this. */
final class FleetServer {
    private FleetServer() {}

    /** Runs until SIGTERM; returns the process's exit code. */
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
            Fleet fleet = Fleet.start(
                    file, terms, termsMs, config.settings().ordinal(), config.seed(), loop.monotonicOffsetUs());
            fleet.setBackendZones(config.zones());
            return new FleetCompanion(fleet, loop);
        });
    }

    /** The fleet's runtime, which follows the lifecycle of its front door. */
    private record FleetCompanion(Fleet fleet, EventLoop loop) implements Companion {
        @Override
        public void frontDoorStarted(FrontDoor door) {
            door.setFleetSuppliers(fleet, fleet::zoneLatencies);
            if (fleet.sharesCustomers()) {
                door.setShardOwnershipSupplier(fleet::shards);
                fleet.setPartnerEndpointListener(
                        (tier, there) -> loop.execute(() -> door.updatePartnerEndpoints(tier, there)));
            }
        }

        @Override
        public void shutdownRequested() {
            fleet.leave();
        }

        @Override
        public void close() throws IOException {
            fleet.close();
        }
    }
}
