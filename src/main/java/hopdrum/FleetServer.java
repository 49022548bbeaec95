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

/**
 * Runs a front door as a member of a fleet. {@code serve} without a fleet file loads no class that is used only here.
 */
final class FleetServer {
    private FleetServer() {}

    /** Runs the front door until SIGTERM; returns the exit code of the process. */
    static int serve(String configFile, String fleetFile) {
        FleetFile file;
        AgreementTerms terms;
        long termsModifiedAtMs;
        try {
            file = FleetFile.read(Path.of(fleetFile));
            // The modification time is taken before the file is read, so that a later change is noticed.
            termsModifiedAtMs =
                    file.termsFile() == null ? 0 : file.termsFile().toFile().lastModified();
            terms = file.termsFile() == null ? AgreementTerms.NONE : TermsFile.read(file.termsFile());
        } catch (InvalidFileException | IllegalArgumentException e) {
            System.err.println("hopdrum serve: the fleet file cannot be used\n" + e.getMessage());
            return 1;
        }
        return Server.serve(configFile, (config, loop) -> {
            Fleet fleet = Fleet.start(
                    file,
                    terms,
                    termsModifiedAtMs,
                    config.settings().ordinal(),
                    config.seed(),
                    loop.monotonicOffsetUs());
            fleet.setBackendZones(config.zones());
            return new FleetCompanion(fleet, loop);
        });
    }

    /** The fleet's runtime, which follows the life cycle of its front door. */
    private record FleetCompanion(Fleet fleet, EventLoop loop) implements Companion {
        @Override
        public void frontDoorStarted(FrontDoor frontDoor) {
            frontDoor.setFleetSuppliers(fleet, fleet::zoneLatencies);
            if (fleet.sharesCustomers()) {
                frontDoor.setShardOwnershipSupplier(fleet::shardOwnership);
                fleet.setPartnerEndpointListener(
                        (tier, endpoints) -> loop.execute(() -> frontDoor.updatePartnerEndpoints(tier, endpoints)));
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
