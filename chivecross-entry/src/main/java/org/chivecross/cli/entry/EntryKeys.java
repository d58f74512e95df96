package org.chivecross.cli.entry;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.chivecross.cli.entry.key.LoopbackRunner;
import org.chivecross.cli.entry.key.OwnedKeyService;
import org.chivecross.logic.key.KeyPrefixIssuer;
import org.chivecross.logic.key.KeyRecordTable;
import org.chivecross.logic.key.OwnedKeyHandler;
import org.chivecross.logic.peer.NodeView;
import org.chivecross.model.fileset.Deployment;

/** Idempotency keys that one entry owns. Safe for use by many threads. */
final class EntryKeys {

  private static final int RECORDS = 131_072;

  private final KeyPrefixIssuer issuer;
  private final KeyRecordTable records;
  private final OwnedKeyHandler service;
  private volatile Optional<InetSocketAddress> address = Optional.empty();

  EntryKeys(long incarnation, long startNanos) {
    issuer = new KeyPrefixIssuer(incarnation, startNanos);
    records = new KeyRecordTable(issuer, RECORDS);
    service = OwnedKeyService.create(records, new LoopbackRunner(() -> address), System::nanoTime);
  }

  KeyRecordTable records() {
    return records;
  }

  OwnedKeyHandler service() {
    return service;
  }

  /** Callers are served at this address from now on. */
  void serving(InetSocketAddress callerAddress) {
    address = Optional.of(callerAddress);
  }

  /** Returns a prefix for a caller; empty while no file set states a window. */
  String prefix(NodeView view) {
    long windowMillis =
        view.config()
            .fileSet()
            .map(set -> set.deployment())
            .map(Deployment::keyWindowMillis)
            .orElse(0);
    return windowMillis == 0 ? "" : issuer.prefix(windowMillis, System.nanoTime());
  }
}
