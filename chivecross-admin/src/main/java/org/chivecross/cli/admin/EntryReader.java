package org.chivecross.cli.admin;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Function;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;

/** Sends a request to all entries in parallel and reports failures. Not thread-safe. */
final class EntryReader {

  private static final int MAX_THREADS = 16;

  private final List<String> entries;
  private final PrintStream err;
  private boolean allEntriesAnswered = true;

  /** Creates a reader of the given entries that prints failures to {@code err}. */
  EntryReader(List<String> entries, PrintStream err) {
    this.entries = entries;
    this.err = err;
  }

  /**
   * Returns the answer of each entry that answered, in the order of the entries; prints failures.
   */
  <T> Map<String, T> readAll(Function<String, Result<T>> read) {
    Map<String, T> answers = new LinkedHashMap<>();
    for (Map.Entry<String, Result<T>> result : readResults(read).entrySet()) {
      if (result.getValue() instanceof Result.Success<T> success) {
        answers.put(result.getKey(), success.value());
      }
      if (result.getValue() instanceof Result.Failed<T> failed) {
        allEntriesAnswered = false;
        for (Failure failure : failed.failures()) {
          err.println("chivecross-admin: " + failure);
        }
      }
    }
    return answers;
  }

  /** Returns the answer or failure of each entry, in the order of the entries; prints nothing. */
  <T> Map<String, Result<T>> readResults(Function<String, Result<T>> read) {
    ExecutorService pool = Executors.newFixedThreadPool(Math.min(MAX_THREADS, entries.size()));
    try {
      Map<String, CompletableFuture<Result<T>>> pending = new LinkedHashMap<>();
      for (String entry : entries) {
        pending.put(entry, CompletableFuture.supplyAsync(() -> read.apply(entry), pool));
      }
      Map<String, Result<T>> results = new LinkedHashMap<>();
      pending.forEach((entry, result) -> results.put(entry, result.join()));
      return results;
    } finally {
      pool.shutdown();
    }
  }

  /** Returns whether every request of {@link #readAll} so far was answered by every entry. */
  boolean haveAllEntriesAnswered() {
    return allEntriesAnswered;
  }
}
