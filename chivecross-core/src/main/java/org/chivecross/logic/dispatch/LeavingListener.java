package org.chivecross.logic.dispatch;

import org.chivecross.model.registry.RegisteredTarget;

/** Receives the targets that announce their shutdown in a response. */
@FunctionalInterface
public interface LeavingListener {

  /** Called once for each run of a target, when this entry receives its first announcement. */
  void announced(RegisteredTarget target);
}
