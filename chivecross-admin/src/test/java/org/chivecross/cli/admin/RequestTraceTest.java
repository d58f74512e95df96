package org.chivecross.cli.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.chivecross.model.failure.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RequestTraceTest {

  @TempDir Path directory;

  private static List<String> readTrace(String request, Path... files) {
    Result<List<String>> read = RequestTrace.read(request, List.of(files));
    return ((Result.Success<List<String>>) read).value();
  }

  private Path write(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text);
  }

  /** The caller sent the same request to two entries, one attempt to each. */
  @Test
  void linesOfTwoEntriesAreOrderedByTimeWithTheStateOfEach() throws IOException {
    Path first =
        write(
            "first.log",
            """
            {"time":"2026-12-04T10:00:01Z","message":"targets: 5 usable of 6 at revision 9"}
            {"time":"2026-12-04T10:00:02Z","message":"targets: 4 usable of 6 at revision 10"}
            {"time":"2026-12-04T10:00:03Z","message":"request sent","request":"a","target":"t1"}
            {"time":"2026-12-04T10:00:04Z","message":"targets: 3 usable of 6 at revision 11"}
            {"time":"2026-12-04T10:00:03Z","message":"request sent","request":"b","target":"t2"}
            """);
    Path second =
        write(
            "second.log",
            """
            front-2 {"time":"2026-12-04T10:00:02.5Z","message":"attempt failed","request":"a"}
            not a line of the entry
            front-2 {broken
            """);
    assertEquals(
        List.of(
            "2026-12-04T10:00:02Z  first.log  targets: 4 usable of 6 at revision 10",
            "2026-12-04T10:00:02.5Z  front-2  attempt failed",
            "2026-12-04T10:00:03Z  first.log  request sent  target=t1"),
        readTrace("a", first, second));
  }

  @Test
  void lineWithoutPrefixShowsTheWholeFileName() throws IOException {
    Path file = write("entry 7.log", "{\"time\":\"t\",\"message\":\"m\",\"request\":\"a\"}\n");
    assertEquals(List.of("t  entry 7.log  m"), readTrace("a", file));
  }

  @Test
  void unknownRequestHasNoLines() throws IOException {
    assertTrue(readTrace("c", write("empty.log", "")).isEmpty());
  }

  @Test
  void failureNamesTheMissingFile() {
    Result<List<String>> read = RequestTrace.read("a", List.of(directory.resolve("none.log")));
    String failure = assertInstanceOf(Result.Failed.class, read).failures().get(0).toString();
    assertTrue(failure.contains("none.log"), failure);
  }
}
