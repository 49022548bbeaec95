package hopdrum.rig.faulty;

import hopdrum.Main;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The command line that a trial starts for a door with a fault: the product itself with a fault beside it, a front door
 * that behaves badly, or a reference for the product's placement.
 */
public final class FaultyServer {
    private FaultyServer() {}

    /**
     * Runs the server until it is told to end.
     *
     * @param args the fault's name and the fleet's file
     * @throws IOException if the configuration or the fleet's file cannot be read
     * @throws IllegalArgumentException if there is no such fault
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
        Path own = fleetFile.resolveSibling("faulty.yaml");
        Files.writeString(own, Files.readString(fleetFile).replaceAll("lease_ms: (\\d+)", "lease_ms: $10"));
        serve(own);
    }
}
