package org.chivecross.cli.entry.fleet;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.chivecross.cli.entry.http.LocalRoutes;
import org.chivecross.cli.entry.http.RequestDialect;
import org.chivecross.model.fleet.CallerLocation;

/**
 * Protocols of one platform: request headers, store, directory and readiness check. Implementations
 * only translate, make no decisions, and are thread-safe.
 */
public interface PlatformAdapter {

  /** Returns the platform's names and formats of headers in requests and answers. */
  RequestDialect dialect();

  /** Returns the reader of the platform's store. */
  StoreReader store();

  /**
   * Returns the routes on which callers request the addresses of entries.
   *
   * @param addresses returns the addresses for a caller at the given location
   */
  LocalRoutes directory(Function<CallerLocation, List<String>> addresses);

  /** Returns the routes of the readiness check that the platform calls. */
  LocalRoutes readiness(BooleanSupplier ready);
}
