package org.chivecross.model.fileset;

import java.util.List;

/**
 * Settings that all entries of one deployment share.
 *
 * @param name name of the deployment; entries of other deployments are refused
 * @param entryBound upper bound on entries alive at the same time; every shared budget is divided
 *     by it
 * @param directoryLifetimeMillis time for which callers may cache a directory answer, in ms
 * @param keyWindowMillis time for which an entry keeps an idempotency key and answers for it, in ms
 * @param dataCentres all data centres
 * @param links round trips between data centres
 */
public record Deployment(
    String name,
    int entryBound,
    int directoryLifetimeMillis,
    int keyWindowMillis,
    List<String> dataCentres,
    List<DataCentreLink> links) {
  public Deployment {
    dataCentres = List.copyOf(dataCentres);
    links = List.copyOf(links);
  }
}
