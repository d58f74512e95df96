package org.chivecross.model.failure;

import java.util.List;
import java.util.function.Function;

/**
 * Either a value or the failures that prevented it. Immutable.
 *
 * @param <T> type of the value
 */
public sealed interface Result<T> {

  /**
   * A value.
   *
   * @param value the value
   */
  record Success<T>(T value) implements Result<T> {}

  /**
   * The failures that prevented a value; never empty.
   *
   * @param failures all failures, in the order in which they were found
   */
  record Failed<T>(List<Failure> failures) implements Result<T> {
    public Failed {
      if (failures.isEmpty()) {
        throw new IllegalArgumentException("a failed result needs a failure");
      }
      failures = List.copyOf(failures);
    }
  }

  /** Returns a success that holds {@code value}. */
  static <T> Result<T> success(T value) {
    return new Success<>(value);
  }

  /** Returns a failed result with one failure. */
  static <T> Result<T> failed(Step step, String peer, String detail) {
    return new Failed<>(List.of(new Failure(step, peer, detail)));
  }

  /** Applies {@code next} to the value, or passes the failures on. */
  default <U> Result<U> flatMap(Function<? super T, Result<U>> next) {
    if (this instanceof Failed<T> failed) {
      return new Failed<>(failed.failures());
    }
    return next.apply(((Success<T>) this).value());
  }
}
