package org.chivecross.logic.request;

/** Factory of request machines that follow the given policies. Immutable and thread-safe. */
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
