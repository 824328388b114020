package org.marjoramnotch.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

@AnalyzeClasses(
        packages = "org.marjoramnotch",
        importOptions = ImportOption.DoNotIncludeTests.class)
class LayerTest {
    @ArchTest
    static final ArchRule LOGIC_DEPENDS_ONLY_ON_MODEL =
            layeredArchitecture()
                    .consideringOnlyDependenciesInLayers()
                    .layer("model")
                    .definedBy("org.marjoramnotch.model..")
                    .layer("logic")
                    .definedBy("org.marjoramnotch.logic..")
                    .whereLayer("logic")
                    .mayNotBeAccessedByAnyLayer()
                    .whereLayer("model")
                    .mayOnlyBeAccessedByLayers("logic");

    @ArchTest
    static final ArchRule LOGIC_PERFORMS_NO_INPUT_OR_OUTPUT =
            noClasses()
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage("java.net..", "java.nio.file..", "java.util.concurrent..")
                    .orShould()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .callMethod(System.class, "nanoTime")
                    .orShould()
                    .dependOnClassesThat()
                    .areAssignableTo(Thread.class);
}
