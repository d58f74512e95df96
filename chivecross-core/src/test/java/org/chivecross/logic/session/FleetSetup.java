package org.chivecross.logic.session;

import java.util.function.Function;
import java.util.function.IntFunction;
import java.util.function.UnaryOperator;
import org.chivecross.logic.key.KeyRegistry;
import org.chivecross.logic.request.DefaultRequestMachines;
import org.chivecross.logic.request.FakePolicies;
import org.chivecross.logic.request.RequestMachines;
import org.chivecross.logic.request.RequestPolicies;

/**
 * Configuration of the entries of a virtual fleet.
 *
 * @param entries number of entries
 * @param keyCapacity maximum number of records in each entry's key table
 * @param policies creates the policies of the entry with the given index
 * @param keyDecorator wraps the key table, for fault injection
 * @param machines creates request machines from policies, for fault injection
 */
record FleetSetup(
    int entries,
    int keyCapacity,
    IntFunction<RequestPolicies> policies,
    UnaryOperator<KeyRegistry> keyDecorator,
    Function<RequestPolicies, RequestMachines> machines) {

  static FleetSetup of(int entries) {
    return new FleetSetup(
        entries,
        1024,
        index -> new FakePolicies().policies(),
        keys -> keys,
        DefaultRequestMachines::new);
  }

  FleetSetup withPolicies(IntFunction<RequestPolicies> other) {
    return new FleetSetup(entries, keyCapacity, other, keyDecorator, machines);
  }

  FleetSetup withKeys(UnaryOperator<KeyRegistry> other) {
    return new FleetSetup(entries, keyCapacity, policies, other, machines);
  }

  FleetSetup withMachines(Function<RequestPolicies, RequestMachines> other) {
    return new FleetSetup(entries, keyCapacity, policies, keyDecorator, other);
  }
}
