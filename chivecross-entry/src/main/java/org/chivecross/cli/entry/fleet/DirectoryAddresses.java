package org.chivecross.cli.entry.fleet;

import java.util.List;
import java.util.function.BooleanSupplier;
import org.chivecross.logic.dispatch.Dispatcher;
import org.chivecross.logic.fleet.FleetDirectory;
import org.chivecross.logic.fleet.FleetNode;
import org.chivecross.model.fleet.CallerLocation;
import org.chivecross.model.fleet.FleetMember;

/** Addresses in the directory answers of an entry. Thread-safe: reads the node under its lock. */
final class DirectoryAddresses {

  /** Maximum number of addresses in a directory answer. */
  private static final int MAX_ADDRESSES = 64;

  private final Object lock;
  private final FleetEntrySettings settings;
  private final long incarnation;
  private final FleetNode node;
  private final Dispatcher dispatcher;
  private final BooleanSupplier ready;
  private final BooleanSupplier strained;

  /**
   * Creates the directory answers of an entry.
   *
   * @param lock guards the node and the dispatcher
   * @param ready whether the entry accepts callers
   * @param strained whether the entry lacks processor time
   */
  DirectoryAddresses(
      Object lock,
      FleetEntrySettings settings,
      long incarnation,
      FleetNode node,
      Dispatcher dispatcher,
      BooleanSupplier ready,
      BooleanSupplier strained) {
    this.lock = lock;
    this.settings = settings;
    this.incarnation = incarnation;
    this.node = node;
    this.dispatcher = dispatcher;
    this.ready = ready;
    this.strained = strained;
  }

  /** Returns the addresses for a caller, as {@code IP:PORT}. */
  List<String> forCaller(CallerLocation caller) {
    synchronized (lock) {
      FleetMember self =
          new FleetMember(
              settings.ip(),
              incarnation,
              settings.dataCentre(),
              ready.getAsBoolean(),
              dispatcher.forwarding().isIsolated(),
              0,
              0,
              strained.getAsBoolean(),
              List.of());
      int port = settings.callers().getPort();
      return FleetDirectory.selectEntries(
              self,
              node.others(System.nanoTime()),
              caller,
              settings.dispatch().regions(),
              MAX_ADDRESSES)
          .stream()
          .map(ip -> ip + ":" + port)
          .toList();
    }
  }
}
