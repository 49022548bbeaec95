package hopdrum;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a process that is started wrongly and ends without a message, or with the exit code of a success. */
class MainExitCodeTest {
    private static final String USAGE = """
            usage: hopdrum serve       (a front door on sockets, as LB_CONFIG describes)
                   hopdrum serve --fleet FILE   (a front door as a member of the fleet that FILE describes)
                   hopdrum train       (start and stop without traffic; the build records its class archive this way)
                   hopdrum benchlink   (make decisions for the bench, by its protocol on standard input and output)
            """;

    @TempDir
    Path folder;

    private record Result(int exitCode, String out, String err) {}

    private Result run(Path configFile, String... args) throws IOException, InterruptedException {
        return run(new byte[0], configFile, args);
    }

    /** Runs the program until it ends; LB_CONFIG is not set if the configuration file is null. */
    private Result run(byte[] input, Path configFile, String... args) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "hopdrum.Main"));
        command.addAll(List.of(args));
        Path out = folder.resolve("out");
        Path err = folder.resolve("err");
        Path in = Files.write(folder.resolve("in"), input);
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectInput(in.toFile())
                .redirectOutput(out.toFile())
                .redirectError(err.toFile());
        builder.environment().remove("LB_CONFIG");
        if (configFile != null) {
            builder.environment().put("LB_CONFIG", configFile.toString());
        }
        Process process = builder.start();
        try {
            assertThat(process.waitFor(60, TimeUnit.SECONDS))
                    .as("ended by itself")
                    .isTrue();
        } finally {
            process.destroyForcibly();
        }
        return new Result(process.exitValue(), Files.readString(out), Files.readString(err));
    }

    private Path file(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text, StandardCharsets.UTF_8);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "help", "serve --fleet", "serve now", "serve --fleet a b", "train benchlink", "SERVE"})
    void wrongArgumentsGiveTheUsageAndExitCode2(String args) throws Exception {
        Result result = run(null, args.isEmpty() ? new String[0] : args.split(" ", -1));
        assertThat(result).isEqualTo(new Result(2, "", USAGE));
    }

    @ParameterizedTest
    @ValueSource(strings = {"serve", "train"})
    void missingConfigurationIsNamedInOneLineWithExitCode1(String command) throws Exception {
        assertThat(run(null, command))
                .isEqualTo(new Result(1, "", "hopdrum " + command + ": LB_CONFIG does not name the configuration\n"));
        Result result = run(folder.resolve("nowhere.json"), command);
        assertThat(result.exitCode()).isEqualTo(1);
        assertThat(result.out()).isEmpty();
        assertThat(result.err())
                .startsWith("hopdrum " + command + ": the configuration cannot be read: ")
                .contains("nowhere.json")
                .hasLineCount(1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"serve", "train"})
    void unusableConfigurationIsNamedInOneLineWithExitCode1AndNothingStarts(String command) throws Exception {
        String example = Files.readString(Path.of("deploy/example.json"));
        Result notJson = run(file("not.json", "{\"half"), command);
        assertThat(notJson)
                .isEqualTo(new Result(1, "", "hopdrum " + command + ": JSON, character 6: it ends too soon\n"));
        Result noListen = run(file("no-listen.json", example.replace("\"listen\"", "\"other\"")), command);
        assertThat(noListen).isEqualTo(new Result(1, "", "hopdrum " + command + ": the configuration lacks listen\n"));
        Result noSetting = run(file("no-setting.json", example.replace("\"AttemptsCap\"", "\"other\"")), command);
        assertThat(noSetting)
                .isEqualTo(new Result(1, "", "hopdrum " + command + ": settings lack Bounds.AttemptsCap\n"));
    }

    @Test
    void unusableFleetFileHasALinePerFaultWithExitCode1AndNothingStarts() throws Exception {
        Path fleetFile = file("fleet.yaml", "fleet: ''\nunheard: 1\n");
        Result result = run(Path.of("deploy/example.json"), "serve", "--fleet", fleetFile.toString());
        assertThat(result.exitCode()).isEqualTo(1);
        assertThat(result.out()).isEmpty();
        List<String> lines = result.err().lines().toList();
        assertThat(lines.get(0)).isEqualTo("hopdrum serve: the fleet file cannot be used");
        assertThat(lines.subList(1, lines.size()))
                .hasSizeGreaterThan(1)
                .allSatisfy(line -> assertThat(line).startsWith(fleetFile + ":"));
    }

    @Test
    void malformedBenchInputIsNamedWithExitCode1AndItsEndBetweenFramesIsASuccess() throws Exception {
        assertThat(run(new byte[] {1, 2}, null, "benchlink"))
                .isEqualTo(new Result(1, "", "hopdrum benchlink: frame 0: input ends inside the length\n"));
        assertThat(run(null, "benchlink")).isEqualTo(new Result(0, "", ""));
    }
}
