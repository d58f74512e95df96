package org.chivecross.cli.entry.http;

import java.util.Map;
import java.util.Optional;

/** The handlers of the paths that this entry answers itself. Immutable and thread-safe. */
public final class LocalRoutes {

  /** Prefix of the paths that are never sent to a target. */
  public static final String PREFIX = "/chivecross/";

  private final String prefix;
  private final Map<String, LocalHandler> handlers;

  /** Creates routes from exact paths, each starting with {@link #PREFIX}. */
  public LocalRoutes(Map<String, LocalHandler> handlers) {
    this(PREFIX, handlers);
  }

  /**
   * Creates routes from exact paths.
   *
   * @param prefix prefix of the paths that are never sent to a target
   */
  public LocalRoutes(String prefix, Map<String, LocalHandler> handlers) {
    this.prefix = prefix;
    this.handlers = Map.copyOf(handlers);
  }

  /** Returns the handler of a path under the prefix; unknown ones are answered with 404. */
  Optional<LocalHandler> find(String path) {
    if (!path.startsWith(prefix)) {
      return Optional.empty();
    }
    return Optional.of(handlers.getOrDefault(path, LocalRoutes::notFound));
  }

  private static void notFound(
      LocalRequest request, java.util.function.Consumer<LocalResponse> responder) {
    responder.accept(
        LocalResponse.text(404, Map.of(), "application/json", "{\"error\":\"no such path\"}\n"));
  }
}
