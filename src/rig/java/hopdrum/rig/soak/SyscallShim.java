package hopdrum.rig.soak;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** Compiles the library that makes system calls fail, and says how a process is started with it. */
final class SyscallShim {
    private static final String[] FAULT_KINDS = {"read", "write", "accept", "socket", "connect"};

    private final Path library;

    private SyscallShim(Path library) {
        this.library = library;
    }

    /**
     * Compiles the library with the machine's C compiler.
     *
     * @throws IOException if there is no compiler, or if it fails
     */
    static SyscallShim compile(Path home, Path folder) throws IOException, InterruptedException {
        Path library = folder.resolve("syscall_shim.so");
        Path source = home.resolve("src/rig/c/syscall_shim.c");
        Process compiler = new ProcessBuilder(
                        "cc", "-shared", "-fPIC", "-O2", "-o", library.toString(), source.toString(), "-ldl")
                .inheritIO()
                .start();
        if (compiler.waitFor() != 0) {
            throw new IOException("cc cannot compile " + source);
        }
        return new SyscallShim(library);
    }

    /** The environment of a process that runs under the plan's faults. */
    Map<String, String> environment(SoakPlan plan, Path counts) {
        Map<String, String> environment = new HashMap<>();
        environment.put("LD_PRELOAD", library.toString());
        environment.put("SHIM_SEED", Long.toString(plan.seed()));
        environment.put("SHIM_PER_MILLE", Integer.toString(plan.failedCallsPerMille()));
        environment.put("SHIM_FROM_MS", "2000");
        environment.put("SHIM_CLOCK_STEP_S", Integer.toString(plan.clockStepS()));
        environment.put("SHIM_COUNTS", counts.toString());
        return environment;
    }

    /** Reads how many faults of each kind were played. */
    static String describeCounts(Path counts) throws IOException {
        ByteBuffer numbers = ByteBuffer.wrap(Files.readAllBytes(counts)).order(ByteOrder.nativeOrder());
        StringBuilder description = new StringBuilder();
        for (String kind : FAULT_KINDS) {
            description.append(kind).append('=').append(numbers.getLong()).append(' ');
        }
        return description.toString().strip();
    }
}
