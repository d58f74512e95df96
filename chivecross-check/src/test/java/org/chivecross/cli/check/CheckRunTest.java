package org.chivecross.cli.check;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.chivecross.logic.manifest.ContentDigest;
import org.chivecross.logic.manifest.ManifestCodec;
import org.chivecross.logic.settings.ProgramLauncher;
import org.chivecross.model.failure.Result;
import org.chivecross.model.manifest.Manifest;
import org.chivecross.model.manifest.ManifestFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CheckRunTest {

  private static final Path VALID_SET = Path.of("..", "examples", "pulpwood");

  @TempDir private Path directory;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(String... arguments) {
    PrintStream stdout = new PrintStream(out, true, StandardCharsets.UTF_8);
    PrintStream stderr = new PrintStream(err, true, StandardCharsets.UTF_8);
    return new ProgramLauncher("chivecross-check", Map.of(), stdout, stderr)
        .launch(
            new CheckOptions(),
            List.of(arguments),
            options -> new CheckRun(options.toPreferences(), stdout, stderr).run());
  }

  private Path brokenSet() throws IOException {
    Path set = directory.resolve("set");
    try (Stream<Path> files = Files.walk(VALID_SET)) {
      for (Path file : files.filter(Files::isRegularFile).toList()) {
        Path copy = set.resolve(VALID_SET.relativize(file));
        Files.createDirectories(copy.getParent());
        Files.copy(file, copy);
      }
    }
    Path deployment = set.resolve("deployment.yaml");
    Files.writeString(deployment, Files.readString(deployment).replace(": 20", ": 0"));
    Files.write(set.resolve("rules/latin.yaml"), new byte[] {(byte) 0xe9});
    return set;
  }

  @Test
  void validSetExitsWithZero() {
    assertEquals(0, run(VALID_SET.toString()));
    assertEquals("valid: 10 files\n", out.toString(StandardCharsets.UTF_8));
  }

  @Test
  void everyProblemIsPrintedAndTheExitCodeIsOne() throws IOException {
    assertEquals(1, run(brokenSet().toString()));
    assertEquals(
        """
        rules/latin.yaml: found other bytes, allowed: UTF-8 text
        deployment.yaml: line 3: entryBound: found number 0, allowed: a whole number from 1 to 10000
        refused: 2 problems
        """,
        out.toString(StandardCharsets.UTF_8));
  }

  @Test
  void jsonReportListsEachProblemWithItsFields() throws IOException {
    assertEquals(1, run("--json", brokenSet().toString()));
    JsonNode report = JsonMapper.builder().build().readTree(out.toByteArray());
    assertEquals(false, report.get("valid").booleanValue());
    assertEquals("entryBound", report.get("problems").get(1).get("field").textValue());
    assertEquals(3, report.get("problems").get(1).get("line").intValue());
  }

  @Test
  void badSettingsExitWithTwoAndOneErrorLine() throws IOException {
    assertEquals(2, run());
    assertEquals(2, run(directory.resolve("none").toString()));
    assertEquals(2, run("--epoch", "-1", VALID_SET.toString()));
    Files.writeString(directory.resolve("file"), "");
    assertEquals(2, run("--pack", directory.toString(), VALID_SET.toString()));
    assertEquals(4, err.toString(StandardCharsets.UTF_8).lines().count());
    assertEquals("", out.toString(StandardCharsets.UTF_8));
  }

  @Test
  void packedValuesMatchTheManifest() throws IOException {
    Path pack = directory.resolve("pack");
    assertEquals(0, run("--pack", pack.toString(), "--epoch", "3", VALID_SET.toString()));
    Result<Manifest> read =
        new ManifestCodec().read(Files.readAllBytes(pack.resolve("manifest")), "pack");
    Manifest manifest = ((Result.Success<Manifest>) read).value();
    assertEquals("pulpwood", manifest.deployment());
    assertEquals(3, manifest.epoch());
    assertEquals(10, manifest.files().size());
    for (ManifestFile file : manifest.files()) {
      byte[] content = Files.readAllBytes(pack.resolve("files").resolve(file.sha256()));
      assertEquals(file.sha256(), ContentDigest.sha256(content));
      assertTrue(content.length <= Manifest.MAX_VALUE_BYTES);
    }
  }

  @Test
  void invalidSetIsNotPacked() throws IOException {
    Path pack = directory.resolve("pack");
    assertEquals(1, run("--pack", pack.toString(), brokenSet().toString()));
    assertEquals(false, Files.exists(pack));
  }
}
