package org.chivecross.logic.fileset;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.chivecross.model.failure.Result;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.fileset.FileSetProblem;

/**
 * Guards against edits of a valid set that make the parser throw, accept a set with problems or
 * report a problem that lacks the file, the found or the allowed value or contains control
 * characters.
 */
class FileSetFuzzTest {

  private static final int TRIES = 500;

  private final FileSetParser parser = new FileSetParser();
  private final Map<String, String> valid;

  FileSetFuzzTest() throws IOException {
    valid = ExampleFileSetsTest.contents("screenworks");
  }

  /**
   * One change of one file.
   *
   * @param file index of the file, modulo the number of files
   * @param position offset of the change, modulo the length of the content
   * @param length number of characters to remove
   * @param text characters to insert
   */
  record Edit(int file, int position, int length, String text) {

    void apply(Map<String, String> contents) {
      List<String> names = new ArrayList<>(contents.keySet());
      String name = names.get(file % names.size());
      String content = contents.getOrDefault(name, "");
      int from = content.isEmpty() ? 0 : position % (content.length() + 1);
      int to = Math.min(content.length(), from + length);
      contents.put(name, content.substring(0, from) + text + content.substring(to));
    }
  }

  @Provide
  Arbitrary<List<Edit>> edits() {
    Arbitrary<String> tokens =
        Arbitraries.of(
            "",
            "\n",
            " ",
            ":",
            ": ",
            "- ",
            "[",
            "]",
            "{",
            "}",
            "&a ",
            "*a",
            "!!int ",
            "!x ",
            "|\n",
            ">\n",
            "\"",
            "'",
            "#",
            "%",
            "@",
            "`",
            "---\n",
            "...\n",
            "<<: ",
            "? ",
            "\t",
            "\u0000",
            "\ud800",
            "\u2028",
            "\ufeff",
            "~",
            "null",
            "true",
            "-1",
            "0",
            "1e9",
            "1_000",
            "0x1F",
            ".inf",
            "9999999999999999999",
            "name: x\n",
            "dc1",
            "127.0.0.1:1");
    Arbitrary<String> text = Arbitraries.oneOf(tokens, Arbitraries.strings().ofMaxLength(6));
    return Combinators.combine(
            Arbitraries.integers().between(0, 99),
            Arbitraries.integers().between(0, 2_000),
            Arbitraries.integers().between(0, 12),
            text)
        .as(Edit::new)
        .list()
        .ofMinSize(1)
        .ofMaxSize(4);
  }

  @Property(tries = TRIES, seed = "20261203", shrinking = ShrinkingMode.BOUNDED)
  void editedSetIsAcceptedOrRefusedWithCompleteProblems(@ForAll("edits") List<Edit> edits) {
    Map<String, String> contents = new TreeMap<>(valid);
    edits.forEach(edit -> edit.apply(contents));
    assertAcceptedOrRefused(contents);
  }

  @Property(tries = TRIES, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
  void arbitraryBytesAreAcceptedOrRefusedWithCompleteProblems(@ForAll byte[] bytes) {
    Map<String, byte[]> contents = new TreeMap<>();
    valid.forEach((name, text) -> contents.put(name, text.getBytes(StandardCharsets.UTF_8)));
    contents.put("rules/media.yaml", bytes);
    List<FileSetProblem> problems = parser.checkBytes(contents);
    assertEquals(problems.isEmpty(), parser.parseBytes(contents) instanceof Result.Success);
    problems.forEach(FileSetFuzzTest::assertComplete);
  }

  @Example
  void unchangedSetIsAccepted() {
    assertEquals(List.of(), parser.check(valid));
  }

  private void assertAcceptedOrRefused(Map<String, String> contents) {
    List<FileSetProblem> problems = parser.check(contents);
    Result<FileSet> result = parser.parse(contents);
    assertEquals(problems.isEmpty(), result instanceof Result.Success, problems.toString());
    problems.forEach(FileSetFuzzTest::assertComplete);
  }

  private static void assertComplete(FileSetProblem problem) {
    String line = problem.toString();
    assertFalse(problem.file().isEmpty(), line);
    assertFalse(problem.found().isEmpty(), line);
    assertFalse(problem.allowed().isEmpty(), line);
    assertTrue(line.codePoints().noneMatch(Character::isISOControl), line);
  }
}
