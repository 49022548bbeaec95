package hopdrum;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.equivalentTo;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.core.domain.properties.HasName.Predicates.nameMatching;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.core.importer.Location;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import com.tngtech.archunit.library.dependencies.SliceAssignment;
import com.tngtech.archunit.library.dependencies.SliceIdentifier;
import java.nio.ByteBuffer;
import java.util.SplittableRandom;
import java.util.regex.Pattern;

/** Checks the dependencies that docs/architecture.md allows, in the compiled classes of the product and the rig. */
@AnalyzeClasses(packages = "hopdrum", importOptions = ArchitectureTest.ProductAndRig.class)
class ArchitectureTest {
    private static final String POLICY = "hopdrum.policy..";
    private static final String HOST = "hopdrum.host..";
    private static final String FLEET = "hopdrum.fleet..";
    private static final String FRONT_DOOR = "hopdrum.frontdoor..";
    private static final String BENCH_LINK = "hopdrum.benchlink..";
    private static final String CHECKER = "hopdrum.rig.check..";

    /**
     * Includes the product and the rig. The rig is compiled beside the tests; tests share the packages of what they
     * test and are left out.
     */
    static final class ProductAndRig implements ImportOption {
        private static final Pattern PRODUCT = Pattern.compile(".*/target/classes/.*");
        private static final Pattern RIG = Pattern.compile(".*/target/test-classes/hopdrum/rig/[a-z]+/.*");

        @Override
        public boolean includes(Location location) {
            return location.matches(PRODUCT) || location.matches(RIG);
        }
    }

    // ---- The policy makes decisions only ----

    @ArchTest
    static void policyUsesNoInputOrOutput(JavaClasses classes) {
        ArchRule rule = noClasses()
                .that()
                .resideInAPackage(POLICY)
                .should()
                .dependOnClassesThat(resideInAnyPackage("java.io..", "java.net..", "javax.net..", "java.nio..")
                        .and(not(equivalentTo(ByteBuffer.class))))
                .because("the host performs all input and output for the policy");
        rule.check(classes);
    }

    @ArchTest
    static void policyStartsNoThreadsOrProcesses(JavaClasses classes) {
        ArchRule rule = noClasses()
                .that()
                .resideInAPackage(POLICY)
                .should()
                .dependOnClassesThat(resideInAPackage("java.util.concurrent..")
                        .or(nameMatching(
                                "java\\.lang\\.(Thread|ThreadGroup|ThreadLocal|Process|ProcessBuilder|Runtime)"))
                        .or(nameMatching("java\\.util\\.(Timer|TimerTask)")))
                .because("the policy runs on the one thread of its host");
        rule.check(classes);
    }

    @ArchTest
    static void policyReadsNoClock(JavaClasses classes) {
        ArchRule rule = noClasses()
                .that()
                .resideInAPackage(POLICY)
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .dependOnClassesThat()
                .resideInAPackage("java.time..")
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching("java\\.util\\.(Date|Calendar|GregorianCalendar)")
                .because("the host supplies the time, so that a simulation can be repeated exactly");
        rule.check(classes);
    }

    @ArchTest
    static void policyDrawsNoUnseededRandomNumbers(JavaClasses classes) {
        ArchRule rule = noClasses()
                .that()
                .resideInAPackage(POLICY)
                .should()
                .callMethod(Math.class, "random")
                .orShould()
                .callMethod(StrictMath.class, "random")
                .orShould()
                .callConstructor(SplittableRandom.class)
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching("java\\.util\\.Random|java\\.security\\.SecureRandom|java\\.util\\.UUID")
                .because("all random numbers of the policy come from its seed");
        rule.check(classes);
    }

    @ArchTest
    static void policyDependsOnTheHostInterfaceAlone(JavaClasses classes) {
        ArchRule rule = ArchRuleDefinition.classes()
                .that()
                .resideInAPackage(POLICY)
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(POLICY, HOST, "java.lang..", "java.util..");
        rule.check(classes);
    }

    @ArchTest
    static void policyHasNoCycleBetweenClasses(JavaClasses classes) {
        ArchRule rule = slices().assignedFrom(new PolicyClasses()).should().beFreeOfCycles();
        rule.check(classes);
    }

    // ---- Dependencies between packages ----

    @ArchTest
    static void hostInterfaceDependsOnNothingElseOfHopdrum(JavaClasses classes) {
        ArchRule rule = noClasses()
                .that()
                .resideInAPackage(HOST)
                .should()
                .dependOnClassesThat(resideInAPackage("hopdrum..").and(not(resideInAPackage(HOST))));
        rule.check(classes);
    }

    @ArchTest
    static void fleetDoesNotDependOnTheFrontDoor(JavaClasses classes) {
        ArchRule rule = noClasses()
                .that()
                .resideInAPackage(FLEET)
                .should()
                .dependOnClassesThat()
                .resideInAPackage(FRONT_DOOR)
                .because(
                        "only the front door connects to clients, backends, discovery and the counter; the fleet uses no platform socket");
        rule.check(classes);
    }

    @ArchTest
    static void plainServeLoadsNoFleetClass(JavaClasses classes) {
        ArchRule rule = noClasses()
                .that()
                .resideInAnyPackage(FRONT_DOOR, POLICY, HOST, BENCH_LINK)
                .should()
                .dependOnClassesThat(
                        resideInAnyPackage(FLEET, "com.fasterxml..", "org.yaml..", "org.apache.commons.codec.."))
                .because("a serve without --fleet starts without the fleet's libraries");
        rule.check(classes);
    }

    @ArchTest
    static void checkerSharesNothingWithWhatItChecks(JavaClasses classes) {
        ArchRule rule = noClasses()
                .that()
                .resideInAPackage(CHECKER)
                .should()
                .dependOnClassesThat(resideInAnyPackage("hopdrum..").and(not(resideInAPackage("hopdrum.rig.."))));
        rule.check(classes);
    }

    @ArchTest
    static void packagesFormNoCycle(JavaClasses classes) {
        ArchRule rule = slices().assignedFrom(new Packages()).should().beFreeOfCycles();
        rule.check(classes);
    }

    /**
     * Makes each package a slice of its own, including that of the command line, which a pattern of subpackages would
     * leave out.
     */
    private static final class Packages implements SliceAssignment {
        @Override
        public SliceIdentifier getIdentifierOf(JavaClass javaClass) {
            return javaClass.getPackageName().startsWith("hopdrum")
                    ? SliceIdentifier.of(javaClass.getPackageName())
                    : SliceIdentifier.ignore();
        }

        @Override
        public String getDescription() {
            return "packages of hopdrum";
        }
    }

    /** Makes each top-level class of the policy, with its nested classes, a slice of its own. */
    private static final class PolicyClasses implements SliceAssignment {
        private static final DescribedPredicate<JavaClass> IN_POLICY = resideInAPackage(POLICY);

        @Override
        public SliceIdentifier getIdentifierOf(JavaClass javaClass) {
            if (!IN_POLICY.test(javaClass)) {
                return SliceIdentifier.ignore();
            }
            JavaClass topLevel = javaClass;
            while (topLevel.getEnclosingClass().isPresent()) {
                topLevel = topLevel.getEnclosingClass().get();
            }
            return SliceIdentifier.of(topLevel.getName());
        }

        @Override
        public String getDescription() {
            return "top-level classes of " + POLICY;
        }
    }
}
