package org.chivecross.logic.request;

/** Creates machines that follow the given policies. Immutable and safe for use by many threads. */
public final class DefaultRequestMachines implements RequestMachines {

  private final RequestPolicies policies;

  /** Creates a factory of machines. */
  public DefaultRequestMachines(RequestPolicies policies) {
    this.policies = policies;
  }

  @Override
  public RequestMachine create() {
    return new PolicyRequestMachine(policies);
  }
}
