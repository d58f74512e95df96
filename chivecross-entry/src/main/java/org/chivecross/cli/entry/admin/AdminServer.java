package org.chivecross.cli.entry.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.WorkerThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * HTTP server of the administration API. It has its own address, selector and threads, and limits
 * on connections, headers, unsent bytes and times, so that its clients cannot slow down the data
 * path: answers are queued without blocking, and a client that reads too slowly is disconnected.
 * {@link #start} and {@link #stop} are called once each, by one thread.
 */
public final class AdminServer {

  private static final int SELECTOR_THREADS = 1;
  private static final int WORKER_THREADS = 3;
  private static final int MAX_QUEUED_REQUESTS = 64;
  private static final int MAX_CONNECTIONS = 16;
  private static final int MAX_UNSENT_BYTES = 2 * 1024 * 1024;
  private static final int MAX_HEADER_BYTES = 8 * 1024;
  private static final int IDLE_TIMEOUT_SECONDS = 30;
  private static final int IO_TIMEOUT_SECONDS = 5;
  private static final int STOP_TIMEOUT_SECONDS = 2;

  private final AdminSettings settings;
  private final HttpServer server = new HttpServer();

  /** Creates a server for the given views. */
  public AdminServer(AdminSettings settings, AdminViews views) {
    this.settings = settings;
    server.addListener(listener(settings.address()));
    server
        .getServerConfiguration()
        .addHttpHandler(new AdminHandler(new AdminRoutes(settings, views)), "/");
  }

  /** Returns all paths of the API, with parameters in braces. */
  public static Set<String> paths() {
    return AdminRoutes.PATHS;
  }

  /**
   * Starts to listen.
   *
   * @return the bound address, with the port that the system chose for port 0
   * @throws IOException if the address can't be bound
   */
  public InetSocketAddress start() throws IOException {
    server.start();
    int port = server.getListeners().iterator().next().getPort();
    return new InetSocketAddress(settings.address().getAddress(), port);
  }

  /** Waits up to {@value #STOP_TIMEOUT_SECONDS} s for requests in progress, then closes. */
  public void stop() {
    server.shutdown(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private static NetworkListener listener(InetSocketAddress address) {
    NetworkListener listener =
        new NetworkListener("admin", address.getHostString(), address.getPort());
    listener.setTransport(transport());
    listener.setMaxHttpHeaderSize(MAX_HEADER_BYTES);
    listener.setMaxPendingBytes(MAX_UNSENT_BYTES);
    listener.setMaxFormPostSize(0);
    listener.setMaxBufferedPostSize(0);
    listener.setTransactionTimeout(IO_TIMEOUT_SECONDS);
    listener.getKeepAlive().setIdleTimeoutInSeconds(IDLE_TIMEOUT_SECONDS);
    listener.registerAddOn((network, chain) -> chain.add(1, new ConnectionLimit(MAX_CONNECTIONS)));
    return listener;
  }

  private static TCPNIOTransport transport() {
    TCPNIOTransport transport =
        TCPNIOTransportBuilder.newInstance()
            .setName("admin")
            .setIOStrategy(WorkerThreadIOStrategy.getInstance())
            .setSelectorRunnersCount(SELECTOR_THREADS)
            .setWorkerThreadPoolConfig(
                ThreadPoolConfig.defaultConfig()
                    .setPoolName("admin-worker")
                    .setDaemon(true)
                    .setCorePoolSize(WORKER_THREADS)
                    .setMaxPoolSize(WORKER_THREADS)
                    .setQueueLimit(MAX_QUEUED_REQUESTS))
            .build();
    transport.setReadTimeout(IO_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    transport.setWriteTimeout(IO_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    return transport;
  }
}
