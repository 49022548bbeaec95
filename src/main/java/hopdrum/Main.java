package hopdrum;

import hopdrum.benchlink.BenchLink;
import hopdrum.frontdoor.server.Server;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/** The entry point of the program, which runs the commands of the command line. */
public final class Main {
    private static final String USAGE = """
            usage: hopdrum serve       (a front door on sockets, as LB_CONFIG describes)
                   hopdrum serve --fleet FILE   (a front door as a member of the fleet that FILE describes)
                   hopdrum train       (start and stop without traffic; the build records its class archive this way)
                   hopdrum benchlink   (make decisions for the bench, by its protocol on standard input and output)""";
    private static final int FAILURE = 1;
    private static final int WRONG_ARGUMENTS = 2;

    private Main() {}

    /**
     * Runs one command. The exit code is 0 for success, 1 if the configuration or the input cannot be used or the front
     * door cannot run, and 2 for wrong arguments.
     *
     * @param args the command and its options
     */
    public static void main(String[] args) {
        int exitCode = run(args);
        // Returning from main() ends the process. After SIGTERM the shutdown hook waits for this thread, so a call of
        // System.exit() here, which waits for the hook, would never return.
        if (exitCode != 0) {
            System.exit(exitCode);
        }
    }

    private static int run(String[] args) {
        String configFile = System.getenv("LB_CONFIG");
        if (args.length == 3 && args[0].equals("serve") && args[1].equals("--fleet")) {
            return FleetServer.serve(configFile, args[2]);
        }
        String command = args.length == 1 ? args[0] : "";
        return switch (command) {
            case "serve" -> Server.serve(configFile);
            case "train" -> Server.train(configFile);
            case "benchlink" -> runBenchLink();
            default -> {
                System.err.println(USAGE);
                yield WRONG_ARGUMENTS;
            }
        };
    }

    private static int runBenchLink() {
        try {
            new BenchLink(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out)).run();
            return 0;
        } catch (IOException e) {
            System.err.println("hopdrum benchlink: " + e.getMessage());
            return FAILURE;
        }
    }
}
