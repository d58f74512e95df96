package org.chivecross.cli.entry;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.chivecross.cli.entry.key.LoopbackRunner;
import org.chivecross.cli.entry.key.OwnedKeyService;
import org.chivecross.logic.key.KeyPrefixIssuer;
import org.chivecross.logic.key.KeyRecordTable;
import org.chivecross.logic.key.OwnedKeyHandler;
import org.chivecross.logic.key.PeerKeyPrefixes;
import org.chivecross.logic.peer.NodeView;
import org.chivecross.model.fileset.Deployment;

/** Idempotency keys that one entry owns, and the prefixes that it issues. Thread-safe. */
final class EntryKeys {

  private static final int MAX_RECORDS = 131_072;

  private final KeyPrefixIssuer issuer;
  private final PeerKeyPrefixes peers = new PeerKeyPrefixes();
  private final KeyRecordTable records;
  private final OwnedKeyHandler service;
  private volatile Optional<InetSocketAddress> callerAddress = Optional.empty();

  EntryKeys(long incarnation, long startNanos) {
    issuer = new KeyPrefixIssuer(incarnation, startNanos);
    records = new KeyRecordTable(issuer, MAX_RECORDS);
    service =
        OwnedKeyService.create(records, new LoopbackRunner(() -> callerAddress), System::nanoTime);
  }

  KeyRecordTable records() {
    return records;
  }

  OwnedKeyHandler service() {
    return service;
  }

  /** Sets the address at which this entry now serves callers. */
  void setCallerAddress(InetSocketAddress address) {
    callerAddress = Optional.of(address);
  }

  /** Updates the key window and the state of other entries; called in each tick by one thread. */
  void observe(NodeView view, long nowNanos) {
    issuer.allowWindow(windowMillis(view));
    peers.observe(view.members(), nowNanos);
  }

  /**
   * Returns a key prefix for a caller that the directory sends to an entry: one owned by that entry
   * if its uptime is known, otherwise one owned by this entry; empty without a key window in force.
   */
  String prefix(NodeView view, long incarnation) {
    long windowMillis = windowMillis(view);
    if (windowMillis == 0) {
      return "";
    }
    long nowNanos = System.nanoTime();
    if (incarnation == issuer.incarnation()) {
      return issuer.prefix(windowMillis, nowNanos);
    }
    return peers
        .prefix(incarnation, windowMillis, nowNanos)
        .orElseGet(() -> issuer.prefix(windowMillis, nowNanos));
  }

  private static long windowMillis(NodeView view) {
    return view.config()
        .fileSet()
        .map(set -> set.deployment())
        .map(Deployment::keyWindowMillis)
        .orElse(0);
  }
}
