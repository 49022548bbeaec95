package hopdrum.rig.faulty;

import hopdrum.Main;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The main class that a trial starts in place of the product for a front door with a planted fault. Depending on the
 * fault, it runs the product with a fault added to its process, a faulty front door, or a reference for the product's
 * placement.
 */
public final class FaultyServer {
    private FaultyServer() {}

    /**
     * Runs the server until the process is asked to end.
     *
     * @param args the fault's name and the path of the fleet file
     * @throws IOException if the configuration or the fleet file cannot be read
     * @throws IllegalArgumentException if no fault has this name
     */
    public static void main(String[] args) throws IOException {
        Fault fault = Fault.of(args[0]);
        Path fleetFile = Path.of(args[1]);
        switch (fault) {
            case LONG_LEASE -> serveWithLongLease(fleetFile);
            case LONE_VIEW, TWO_VIEWS, GOES_BACK, OLD_START, ACTS_ON_ALL, LONE_TERMS -> {
                new RogueMember(fault, fleetFile).startThread();
                serve(fleetFile);
            }
            case ALL_KNOWING, NEAREST -> ReferencePlacementServer.serve(fleetFile, fault == Fault.ALL_KNOWING);
            case TWICE, SILENT, LAVISH, DEAF, BOTH -> new FaultyFrontDoor(fault).serve();
        }
    }

    private static void serve(Path fleetFile) {
        Main.main(new String[] {"serve", "--fleet", fleetFile.toString()});
    }

    private static void serveWithLongLease(Path fleetFile) throws IOException {
        Path longLeaseFile = fleetFile.resolveSibling("faulty.yaml");
        Files.writeString(longLeaseFile, Files.readString(fleetFile).replaceAll("lease_ms: (\\d+)", "lease_ms: $10"));
        serve(longLeaseFile);
    }
}
