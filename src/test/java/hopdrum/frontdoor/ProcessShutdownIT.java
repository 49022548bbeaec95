package hopdrum.frontdoor;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Termination of the process, run from the built jar. */
class ProcessShutdownIT {
    @TempDir
    Path folder;

    /** The configuration is a named pipe, so that the process blocks while it reads the configuration. */
    @Test
    void aProcessTerminatedBeforeItListensExitsAtOnceWithSuccess() throws Exception {
        Path config = folder.resolve("config.json");
        assertThat(new ProcessBuilder("mkfifo", config.toString()).start().waitFor())
                .isZero();
        Path jar = Path.of("target/hopdrum.jar").toAbsolutePath();
        assertThat(jar)
                .as("the jar of the package phase; without it the pipe is never opened for reading")
                .exists();
        ProcessBuilder builder = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-jar",
                        jar.toString(),
                        "serve")
                .inheritIO();
        builder.environment().put("LB_CONFIG", config.toString());
        Process process = builder.start();
        OutputStream pipe = Files.newOutputStream(config); // blocks until the process opens the pipe for reading
        try {
            process.destroy();
            assertThat(process.waitFor(10, TimeUnit.SECONDS)).isTrue();
            assertThat(process.exitValue()).isZero();
        } finally {
            pipe.close();
            process.destroyForcibly();
        }
    }
}
