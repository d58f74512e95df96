package org.chivecross.logic.session;

import org.chivecross.logic.key.KeyPrefixIssuer;
import org.chivecross.logic.key.KeyRecordTable;
import org.chivecross.logic.key.KeyRegistry;
import org.chivecross.logic.request.RequestMachines;

/** One entry of a virtual fleet. */
final class SessionEntry {

  static final long KEY_WINDOW_MILLIS = 60_000;

  final String name;
  final KeyPrefixIssuer issuer;
  final KeyRegistry keys;
  final PolicyAudit audit = new PolicyAudit();
  final RequestMachines machines;
  boolean isAlive = true;

  SessionEntry(int index, FleetSetup setup) {
    name = "e" + index;
    issuer = new KeyPrefixIssuer(index + 1, 0);
    keys = setup.keyDecorator().apply(new KeyRecordTable(issuer, setup.keyCapacity()));
    machines = setup.machines().apply(audit.wrap(setup.policies().apply(index), keys));
  }
}
