package org.chivecross.cli.standin.upstream;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.chivecross.cli.history.HistoryWriter;
import org.chivecross.cli.settings.HostPort;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.fileset.Service;
import org.chivecross.model.fileset.TargetGroup;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/**
 * Server that stands in for all targets of a file set in one process, each on its own address.
 * Started and closed by one thread.
 */
public final class UpstreamStandin implements AutoCloseable {

  private static final int UNLIMITED = -1;

  private static final int TIMER_THREADS = 2;
  private static final int SELECTOR_THREADS = 2;
  private static final int BACKLOG = 1024;

  private final TCPNIOTransport transport;
  private final ScheduledExecutorService timer;
  private final BehaviourControl control;
  private final HistoryWriter history;

  private UpstreamStandin(
      TCPNIOTransport transport,
      ScheduledExecutorService timer,
      BehaviourControl control,
      HistoryWriter history) {
    this.transport = transport;
    this.timer = timer;
    this.control = control;
    this.history = history;
  }

  /**
   * Starts the targets of a file set.
   *
   * @throws IOException when an address can't be bound
   */
  static UpstreamStandin start(FileSet files, UpstreamPreferences preferences) throws IOException {
    ScheduledExecutorService timer = Executors.newScheduledThreadPool(TIMER_THREADS);
    Map<String, SlottedTarget> targets = new LinkedHashMap<>();
    NoiseSchedule noise = new NoiseSchedule(timer, preferences.noiseFactor(), preferences.seed());
    for (Service service : files.services()) {
      List<SlottedTarget> ofService = targetsOf(service, timer);
      ofService.forEach(target -> targets.put(target.address(), target));
      int noisy = Math.min(preferences.noisyTargets(), ofService.size());
      noise.start(ofService.subList(0, noisy));
    }
    HistoryWriter history = HistoryWriter.open(preferences.history(), "upstream");
    UpstreamFilter filter = new UpstreamFilter(targets, history, System::nanoTime);
    TCPNIOTransport transport =
        TCPNIOTransportBuilder.newInstance()
            .setIOStrategy(SameThreadIOStrategy.getInstance())
            .setSelectorRunnersCount(SELECTOR_THREADS)
            .setTcpNoDelay(true)
            .setReuseAddress(true)
            .setProcessor(
                FilterChainBuilder.stateless()
                    .add(new TransportFilter())
                    .add(newServerFilter())
                    .add(filter)
                    .build())
            .build();
    for (String address : targets.keySet()) {
      HostPort bind = HostPort.parse(address);
      transport.bind(bind.host(), bind.port(), BACKLOG);
    }
    transport.start();
    BehaviourControl control =
        new BehaviourControl(
            HostPort.parse(preferences.control()),
            targets.values(),
            filter::silenceOpenConnections,
            history);
    control.start();
    return new UpstreamStandin(transport, timer, control, history);
  }

  /** Returns the port of the control endpoint. */
  int controlPort() {
    return control.port();
  }

  @Override
  public void close() throws IOException {
    control.stop();
    transport.shutdownNow();
    timer.shutdownNow();
    history.close();
  }

  private static List<SlottedTarget> targetsOf(Service service, ScheduledExecutorService timer) {
    List<SlottedTarget> targets = new ArrayList<>();
    for (TargetGroup group : service.targets()) {
      for (String address : group.addresses()) {
        targets.add(new SlottedTarget(address, group.slots(), timer, System::nanoTime));
      }
    }
    return targets;
  }

  /** Sets unlimited keep-alive; without it the filter closes a connection after one response. */
  private static HttpServerFilter newServerFilter() {
    KeepAlive keepAlive = new KeepAlive();
    keepAlive.setIdleTimeoutInSeconds(UNLIMITED);
    keepAlive.setMaxRequestsCount(UNLIMITED);
    return new HttpServerFilter(
        true, HttpServerFilter.DEFAULT_MAX_HTTP_PACKET_HEADER_SIZE, keepAlive, null);
  }
}
