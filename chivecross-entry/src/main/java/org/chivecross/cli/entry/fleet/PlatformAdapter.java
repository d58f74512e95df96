package org.chivecross.cli.entry.fleet;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.chivecross.cli.entry.http.LocalRoutes;
import org.chivecross.cli.entry.http.RequestDialect;

/** How one platform speaks. Implementations decide nothing and are safe for use by many threads. */
public interface PlatformAdapter {

  /** Returns how requests and answers are spelled. */
  RequestDialect dialect();

  /** Returns the reader of the platform's store. */
  StoreReader store();

  /**
   * Returns the paths on which callers ask for entries.
   *
   * @param addresses gives the addresses for a caller in a data centre
   */
  LocalRoutes directory(Function<String, List<String>> addresses);

  /** Returns the paths on which the platform asks whether this entry is ready. */
  LocalRoutes readiness(BooleanSupplier ready);
}
