package org.chivecross.logic.balance;

import org.chivecross.model.table.ServiceTable;
import org.chivecross.model.table.TargetTable;

/** Creates a policy that reads the live columns of an engine's tables. */
@FunctionalInterface
public interface TargetPolicyFactory {

  /** Creates a policy. */
  TargetPolicy create(TargetTable targets, ServiceTable services, SharedRandom random);
}
