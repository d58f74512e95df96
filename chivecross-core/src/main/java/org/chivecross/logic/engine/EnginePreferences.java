package org.chivecross.logic.engine;

/**
 * Settings of the engine of one entry. Immutable.
 *
 * @param entryId name of the entry, unique in the deployment
 * @param dataCentre data centre of the entry
 * @param targetCapacity maximum number of targets over all services
 * @param serviceCapacity maximum number of services, and also of tenants
 * @param concurrency number of requests in flight from which on each tenant is limited to its fair
 *     share
 */
public record EnginePreferences(
    String entryId, String dataCentre, int targetCapacity, int serviceCapacity, int concurrency) {

  private static final int DEFAULT_TARGETS = 8192;
  private static final int DEFAULT_SERVICES = 1024;
  private static final int DEFAULT_CONCURRENCY = 4096;

  /**
   * Returns settings with the default capacities, three times the size that the load balancer is
   * designed for.
   */
  public static EnginePreferences of(String entryId, String dataCentre) {
    return new EnginePreferences(
        entryId, dataCentre, DEFAULT_TARGETS, DEFAULT_SERVICES, DEFAULT_CONCURRENCY);
  }
}
