package org.chivecross;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

@AnalyzeClasses(
    packages = "org.chivecross",
    importOptions = {ImportOption.DoNotIncludeTests.class})
class ArchitectureTest {

  @ArchTest
  static final ArchRule MODEL_DOES_NOT_USE_LOGIC =
      layeredArchitecture()
          .consideringOnlyDependenciesInLayers()
          .layer("model")
          .definedBy("org.chivecross.model..")
          .layer("logic")
          .definedBy("org.chivecross.logic..")
          .whereLayer("logic")
          .mayNotBeAccessedByAnyLayer()
          .whereLayer("model")
          .mayOnlyBeAccessedByLayers("logic");

  @ArchTest
  static final ArchRule CORE_HAS_NO_THREADS_AND_SOCKETS =
      noClasses()
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("java.net..", "java.nio.channels..", "java.nio.file..")
          .orShould()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.lang.Thread")
          .orShould()
          .dependOnClassesThat()
          .haveNameMatching(
              "java\\.util\\.concurrent\\.(.*Executor.*|ForkJoin.*|CompletableFuture)");

  @ArchTest
  static final ArchRule CORE_HAS_NO_CLOCK =
      noClasses()
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .dependOnClassesThat()
          .resideInAPackage("java.time..");

  @ArchTest
  static final ArchRule CORE_HAS_NO_UNSEEDED_RANDOMNESS =
      noClasses()
          .should()
          .callConstructor(java.util.Random.class)
          .orShould()
          .callMethod(Math.class, "random")
          .orShould()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.util.concurrent.ThreadLocalRandom")
          .orShould()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.security.SecureRandom");

  @ArchTest
  static final ArchRule NOT_RUN_NEEDS_A_PROOF =
      noClasses()
          .that()
          .resideInAPackage("org.chivecross.logic.request..")
          .and()
          .doNotHaveSimpleName("NotRunProof")
          .should()
          .accessField(org.chivecross.model.request.Outcome.class, "NOT_RUN")
          .orShould()
          .accessField(org.chivecross.model.request.Outcome.class, "EXPIRED");
}
