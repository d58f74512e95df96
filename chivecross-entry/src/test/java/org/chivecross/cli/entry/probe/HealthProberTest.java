package org.chivecross.cli.entry.probe;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.chivecross.logic.engine.BalancerEngine;
import org.chivecross.logic.engine.EnginePreferences;
import org.chivecross.logic.engine.TargetStatus;
import org.chivecross.model.fileset.Deployment;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.fileset.Limits;
import org.chivecross.model.fileset.Service;
import org.chivecross.model.fileset.TargetGroup;
import org.chivecross.model.fileset.Tenant;
import org.chivecross.model.peer.LeavingMark;
import org.junit.jupiter.api.Test;

class HealthProberTest {

  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final Limits HIGH_LIMITS = new Limits(100, 100, 100);

  private static FileSet fileSet(String address) {
    TargetGroup group = new TargetGroup("east", 4, 300, List.of(address));
    Service service =
        new Service("board", "team", 0.5, 6, 8, HIGH_LIMITS, Map.of(), List.of(group));
    Deployment deployment = new Deployment("test", 1, 1, 1, List.of("east"), List.of());
    return new FileSet(
        deployment, List.of(new Tenant("team", 1, HIGH_LIMITS)), List.of(service), List.of());
  }

  @Test
  void targetMarkedLeavingServesAgainAfterHealthyProbe() throws IOException, InterruptedException {
    CountDownLatch answered = new CountDownLatch(1);
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    HttpServer server = HttpServer.create(any, 0);
    server.createContext(
        HealthProber.HEALTH_PATH,
        exchange -> {
          exchange.getResponseHeaders().add("Chivecross-Load", "in-service=3, queued=1, slots=4");
          exchange.sendResponseHeaders(200, -1);
          exchange.close();
          answered.countDown();
        });
    server.start();
    try {
      BalancerEngine engine =
          new BalancerEngine(EnginePreferences.of("entry", "east"), new SplittableRandom(1));
      int port = server.getAddress().getPort();
      String address = any.getAddress().getHostAddress() + ":" + port;
      engine.apply(fileSet(address), 0);
      HealthProber prober = new HealthProber(engine);
      engine.mergeLeavingMarks(List.of(new LeavingMark(address, 0)), SECOND_NANOS);
      engine.tick(SECOND_NANOS);
      assertEquals(0, engine.targetStatuses(SECOND_NANOS).get(0).weight());

      prober.tick(2 * SECOND_NANOS);
      assertTrue(answered.await(10, TimeUnit.SECONDS));
      TargetStatus status = engine.targetStatuses(2 * SECOND_NANOS).get(0);
      while (status.weight() == 0) {
        prober.tick(2 * SECOND_NANOS);
        engine.tick(2 * SECOND_NANOS);
        status = engine.targetStatuses(2 * SECOND_NANOS).get(0);
        Thread.onSpinWait();
      }
      assertEquals(3, status.report().inService());
      assertEquals(1, engine.probeCost(2 * SECOND_NANOS).probes());
    } finally {
      server.stop(0);
    }
  }
}
