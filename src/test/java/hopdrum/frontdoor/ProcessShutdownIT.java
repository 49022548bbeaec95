package hopdrum.frontdoor;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The end of the process, with the jar as it was built. */
class ProcessShutdownIT {
    @TempDir
    Path folder;

    /** The configuration is a pipe, so that the start blocks while it is read. */
    @Test
    void aProcessTerminatedBeforeItListensExitsAtOnceWithSuccess() throws Exception {
        Path config = folder.resolve("config.json");
        assertThat(new ProcessBuilder("mkfifo", config.toString()).start().waitFor())
                .isZero();
        Path jar = Path.of("target/hopdrum.jar").toAbsolutePath();
        assertThat(jar)
                .as("built by the package phase; without it the pipe is never opened")
                .exists();
        ProcessBuilder builder = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-jar",
                        jar.toString(),
                        "serve")
                .inheritIO();
        builder.environment().put("LB_CONFIG", config.toString());
        Process process = builder.start();
        OutputStream pipe = Files.newOutputStream(config); // waits until it is read
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
