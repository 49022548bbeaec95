package hopdrum.rig.check;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks the verdicts of the trial checker on small hand-written logs, so that it neither misses a violation nor
 * reports one that did not occur. TrialsIT checks that it catches each fault of real processes.
 */
class TrialCheckerTest {
    @TempDir
    Path folder;

    private final List<String> rig = new ArrayList<>(List.of(
            "{'event':'trial','mono_us':1,'period_us':100000,'deadline_us':1000000,'rate':1,'burst':2,'shards':0,"
                    + "'doors':{'a':'north','b':'north'},'sites':{'a':'x','b':'y'},'founders':['a','b'],"
                    + "'tiers':{'north':['a','b']}}",
            "{'event':'started','mono_us':2,'door':'a'}",
            "{'event':'started','mono_us':3,'door':'b'}",
            "{'event':'begin','mono_us':1000000}"));
    private final List<String> a = new ArrayList<>(List.of("{'event':'starts','mono_us':10,'name':'a','start':5}"));
    private final List<String> b = new ArrayList<>(List.of("{'event':'starts','mono_us':11,'name':'b','start':6}"));

    private static String vote(String name, int number) {
        return "{'event':'accepted','mono_us':20,'name':'" + name + "','voter':1,'era':9,'number':" + number
                + ",'ballot':1,'proposer':'a','members':{'a':5,'b':6}}";
    }

    private static String view(String name, long atUs, int number, String members) {
        return "{'event':'view','mono_us':" + atUs + ",'name':'" + name + "','start':" + (name.equals("a") ? 5 : 6)
                + ",'era':9,'number':" + number + ",'members':" + members + ",'voters':{'a':1,'b':1}}";
    }

    private static String request(int number, String status, long sentUs, long endedUs) {
        return "{'event':'rpc','mono_us':" + endedUs + ",'rpc':'" + number + "','customer':1,'door':'a',"
                + "'method':'once','sent_us':" + sentUs + ",'status':'" + status + "'}";
    }

    private TrialReport check() throws IOException {
        write("rig.jsonl", rig);
        write("a.jsonl", a);
        write("b.jsonl", b);
        return TrialChecker.check(folder);
    }

    private void write(String name, List<String> lines) throws IOException {
        Files.writeString(folder.resolve(name), String.join("\n", lines).replace('\'', '"') + "\n");
    }

    private void settle() {
        a.add(vote("a", 1));
        b.add(vote("b", 1));
        a.add(view("a", 30, 1, "{'a':5,'b':6}"));
        b.add(view("b", 31, 1, "{'a':5,'b':6}"));
    }

    @Test
    void logsThatKeepAllRulesHaveNoViolation() throws IOException {
        settle();
        rig.add("{'event':'step','mono_us':1000000,'do':'expect_settled','who':['a','b'],'more':{'within_s':1}}");
        rig.add(request(1, "200", 1_000_000, 1_010_000));
        TrialReport report = check();
        assertThat(report.firstViolation()).isEmpty();
        assertThat(report.measurements())
                .containsExactly(
                        "requests by status: {200=1}",
                        "closest to the bound on a quota: 5.0 requests below it",
                        "settled 0.0 periods after 0.00 s: a b");
    }

    @Test
    void theEarliestViolationIsReportedAndAllViolatedRulesAreNamed() throws IOException {
        settle();
        rig.add("{'event':'ran','mono_us':2500000,'rpc':'1','method':'once'}");
        rig.add("{'event':'ran','mono_us':2600000,'rpc':'1','method':'once'}");
        rig.add("{'event':'exited','mono_us':1500000,'door':'b','code':3}");
        TrialReport report = check();
        assertThat(report.firstViolation()).contains("process at 0.50 s: b exited with code 3 without a signal");
        assertThat(report.violatedRules()).containsExactly("once", "process");
    }

    @Test
    void aViewWithoutAMajorityAndTwoViewsUnderOneVersionAreCaught() throws IOException {
        settle();
        a.add(view("a", 40, 2, "{'a':5}"));
        b.add(view("b", 41, 2, "{'b':6}"));
        b.add(view("b", 42, 1, "{'a':5,'b':6}"));
        assertThat(check().violatedRules()).containsExactly("majority", "one-view", "order");
    }

    @Test
    void overlappingClaimsOfMoreThanTheWholeQuotaAreCaught() throws IOException {
        settle();
        a.add("{'event':'claim','mono_us':50,'operator':'north','of':1,'until_us':90}");
        b.add("{'event':'claim','mono_us':90,'operator':'north','of':1,'until_us':95}");
        assertThat(check().violatedRules()).isEmpty();
        b.add("{'event':'claim','mono_us':92,'operator':'north','of':1,'until_us':99}");
        a.add("{'event':'claim','mono_us':94,'operator':'north','of':2,'until_us':99}");
        assertThat(check().firstViolation())
                .get()
                .asString()
                .startsWith("claims at ")
                .endsWith("the gateways of north claim 1.500 of the whole");
    }

    @Test
    void aRequestWithoutAnAnswerIsAViolationUnlessItsProcessWasPausedOrKilled() throws IOException {
        settle();
        rig.add(request(1, "none", 2_000_000, 3_600_000));
        assertThat(check().firstViolation()).contains("answer at 2.60 s: request 1 at a ended as none after 1600 ms");
        rig.add("{'event':'signal','mono_us':2500000,'door':'a','which':'STOP'}");
        assertThat(check().firstViolation()).isEmpty();
        rig.remove(rig.size() - 1);
        rig.add("{'event':'killed','mono_us':2500000,'door':'a'}");
        assertThat(check().firstViolation()).isEmpty();
    }

    @Test
    void moreRequestsThanTheQuotaAllowsInAWindowAreCaught() throws IOException {
        settle();
        for (int i = 0; i < 6; i++) { // two bursts of 2 requests, and one request for each of two gateways
            rig.add(request(i, "200", 1_000_000, 1_000_000));
        }
        assertThat(check().violatedRules()).isEmpty();
        rig.add(request(6, "200", 1_000_000, 1_000_000));
        assertThat(check().firstViolation())
                .contains("quota at 0.00 s: customer 1 had 7 requests admitted, at most 6.0 are allowed");
    }

    @Test
    void anIncompleteLastLineIsIgnoredAndAFolderWithoutATrialEventIsRejected() throws IOException {
        settle();
        a.add("{'event':'view','mono_us");
        assertThat(check().firstViolation()).isEmpty();
        rig.remove(0);
        assertThatThrownBy(this::check)
                .isInstanceOf(IOException.class)
                .hasMessageStartingWith("no trial event in the log of the rig in ");
    }

    @Test
    void theCheckerDoesNotDependOnTheProgramUnderTest() {
        JavaClasses checker = new ClassFileImporter().importPackages("hopdrum.rig.check");
        ArchRuleDefinition.noClasses()
                .that()
                .haveNameNotMatching(".*Test")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "hopdrum",
                        "hopdrum.policy..",
                        "hopdrum.fleet..",
                        "hopdrum.frontdoor..",
                        "hopdrum.host..",
                        "hopdrum.rig.trial..",
                        "hopdrum.rig.swarm..",
                        "hopdrum.rig.planted..")
                .check(checker);
    }
}
