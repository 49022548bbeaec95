package hopdrum;

import hopdrum.benchlink.BenchLink;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/** The command line. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            System.err.println("usage: hopdrum benchlink   (decide on the bench's wire, standard input to output)");
            System.exit(2);
        }
        try {
            new BenchLink(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out)).run();
        } catch (IOException e) {
            System.err.println("hopdrum benchlink: " + e.getMessage());
            System.exit(1);
        }
    }
}
