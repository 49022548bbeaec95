package hopdrum.benchlink;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;

/** Guards against records that are read past or short of their ends, and against malformed input without a message. */
class BenchLinkTest {
    private static final String CLOCK = "5a5c800000000000";

    private static String run(String... hex) throws IOException {
        byte[] in = HexFormat.of().parseHex(String.join("", hex).replace(" ", ""));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new BenchLink(new ByteArrayInputStream(in), out).run();
        return HexFormat.of().formatHex(out.toByteArray());
    }

    @Test
    void emptyBatchGetsAnEmptyReply() throws IOException {
        assertThat(run("10000000", CLOCK, "00000000")).isEqualTo("0800000000000000");
    }

    @Test
    void documentedRecordsAreReadToTheirEnds() throws IOException {
        assertThat(run(
                        "b2000000",
                        CLOCK,
                        "08000000",
                        "10 03000000 c4913a5d 640ad2557c3bf091 0000803f 00000040 0000 0000 01 00004040 80a90300",
                        "12 03000000 4d000000",
                        "14 05000000 192b6f0e",
                        "13 03000000 90f6890000000000 0a00 00001842 66080000",
                        "16 03000000 0a00 f211902c 78050000 01 00004040",
                        "17 03000000 c4913a5d 0000 074a1203 0a00 44480000 01 5600 0300 01 00004040",
                        "18 03000000 0200 0400 68692037",
                        "1a 03000000 c4913a5d 0000 074a1203 22240000"))
                .isEqualTo("0800000000000000");
    }

    @Test
    void malformedInputEndsTheRunNamingPlaceAndCause() {
        assertThatThrownBy(() -> run("15000000", CLOCK, "01000000", "6303000000"))
                .hasMessageContaining("frame 0")
                .hasMessageContaining("unknown event code 99");
        assertThatThrownBy(() -> run("17000000", CLOCK, "01000000", "12030000004d00"))
                .hasMessageContaining("past");
        assertThatThrownBy(() -> run("10000000", CLOCK)).hasMessageContaining("input ends");
    }

    @Test
    void missingSettingsKeyIsNamedInTheReportedFault() throws IOException {
        String reply = run("26000000", CLOCK, "01000000", "19 03000000 0100000000000000 05000000 613d62", "0a0a");
        assertThat(new String(HexFormat.of().parseHex(reply), java.nio.charset.StandardCharsets.ISO_8859_1))
                .contains("settings lack Lanes.count");
    }
}
