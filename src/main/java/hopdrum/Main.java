package hopdrum;

import hopdrum.benchlink.BenchLink;
import hopdrum.frontdoor.lifecycle.Server;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/** The command line. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        if (args.length == 3 && args[0].equals("serve") && args[1].equals("--fleet")) {
            exitUnlessZero(FleetServer.serve(System.getenv("LB_CONFIG"), args[2]));
            return;
        }
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> exitUnlessZero(Server.serve(System.getenv("LB_CONFIG")));
            case "train" -> exitUnlessZero(Server.train(System.getenv("LB_CONFIG")));
            case "benchlink" -> exitUnlessZero(benchlink());
            default -> {
                System.err.println("""
                                   usage: hopdrum serve       (a front door on sockets, as LB_CONFIG describes)
                                          hopdrum serve --fleet FILE   (the same as one of a fleet, as FILE describes)
                                          hopdrum train       (start and end among nobody; the build makes its class archive so)
                                          hopdrum benchlink   (decide on the bench's wire, standard input to output)\
                                   """);
                System.exit(2);
            }
        }
    }

    private static int benchlink() {
        try {
            new BenchLink(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out)).run();
            return 0;
        } catch (IOException e) {
            System.err.println("hopdrum benchlink: " + e.getMessage());
            return 1;
        }
    }

    /** Leaving main() ends the process by itself, and after SIGTERM an exit from here would wait for its own hook. */
    private static void exitUnlessZero(int code) {
        if (code != 0) {
            System.exit(code);
        }
    }
}
