package io.siskintrail.internal;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Checks that the decision logic uses no sockets, files, threads, clocks or unseeded randomness.
 */
class PurityTest {
    private static final JavaClasses CORE =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("io.siskintrail.lib", "io.siskintrail.internal");

    @Test
    void coreUsesNoInputOutputOrThreads() {
        ArchRule rule =
                noClasses()
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "java.io..",
                                "java.net..",
                                "java.nio.channels..",
                                "java.nio.file..",
                                "java.util.concurrent..")
                        .orShould()
                        .dependOnClassesThat()
                        .belongToAnyOf(Thread.class, java.security.SecureRandom.class);
        rule.check(CORE);
    }

    @Test
    void coreReadsNoClockAndDrawsNoUnseededRandomNumbers() {
        ArchRule rule =
                noClasses()
                        .should()
                        .callMethod(System.class, "currentTimeMillis")
                        .orShould()
                        .callMethod(System.class, "nanoTime")
                        .orShould()
                        .callMethod(java.time.Instant.class, "now")
                        .orShould()
                        .callMethod(Math.class, "random")
                        .orShould()
                        .callMethod(java.util.UUID.class, "randomUUID")
                        .orShould()
                        .callConstructor(Random.class);
        rule.check(CORE);
    }
}
