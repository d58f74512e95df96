package org.chivecross.model.fileset;

import java.util.List;

/**
 * A complete, checked file set. Immutable; every name used in it is defined in it.
 *
 * @param deployment settings of the deployment
 * @param tenants all tenants
 * @param services all services
 * @param rules all rules
 */
public record FileSet(
    Deployment deployment, List<Tenant> tenants, List<Service> services, List<Rule> rules) {
  public FileSet {
    tenants = List.copyOf(tenants);
    services = List.copyOf(services);
    rules = List.copyOf(rules);
  }
}
