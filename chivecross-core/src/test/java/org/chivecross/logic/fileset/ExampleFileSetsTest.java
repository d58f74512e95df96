package org.chivecross.logic.fileset;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.chivecross.model.failure.Result;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.fileset.Service;
import org.chivecross.model.fileset.TargetGroup;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ExampleFileSetsTest {

  static Map<String, String> contents(String example) throws IOException {
    Path root = Path.of("..", "examples", example);
    Map<String, String> contents = new TreeMap<>();
    try (Stream<Path> files = Files.walk(root)) {
      for (Path file : files.filter(Files::isRegularFile).toList()) {
        contents.put(root.relativize(file).toString(), Files.readString(file));
      }
    }
    return contents;
  }

  @ParameterizedTest
  @CsvSource({"pulpwood,16,8,6,4,300", "screenworks,17,9,6,6,320"})
  void exampleHasTheSizesOfTheDeployment(
      String example, int first, int second, int third, int slots, int connections)
      throws IOException {
    Result<FileSet> result = new FileSetParser().parse(contents(example));
    if (result instanceof Result.Failed<FileSet> failed) {
      throw new AssertionError(failed.failures().toString());
    }
    FileSet set = ((Result.Success<FileSet>) result).value();
    assertEquals(20, set.deployment().entryBound());
    assertEquals(
        List.of(first, second, third),
        set.services().stream()
            .map(ExampleFileSetsTest::targetCount)
            .sorted((a, b) -> b - a)
            .toList());
    for (Service service : set.services()) {
      for (TargetGroup group : service.targets()) {
        assertEquals(slots, group.slots());
        assertEquals(connections, group.connections());
      }
    }
  }

  private static int targetCount(Service service) {
    return service.targets().stream().mapToInt(group -> group.addresses().size()).sum();
  }
}
