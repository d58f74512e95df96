package org.chivecross.cli.standin.upstream;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.chivecross.cli.history.HistoryWriter;
import org.chivecross.cli.settings.HostPort;
import org.chivecross.model.history.HistoryEvent;

/**
 * HTTP control endpoint through which tests and experiments change the behaviour of targets.
 *
 * <p>{@code POST /behaviour?target=PREFIX&slowdown=10&fail-fast=true} sets the behaviour of every
 * target whose address starts with the prefix; omitted parameters take their normal value. {@code
 * POST /silence} makes the connections that are open at that moment ignore all further requests.
 * {@code GET /targets} lists the number of requests served by each target. Thread-safe.
 */
final class BehaviourControl {

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;

  private final HttpServer server;
  private final Collection<SlottedTarget> targets;
  private final Runnable silence;
  private final HistoryWriter history;

  BehaviourControl(
      HostPort address, Collection<SlottedTarget> targets, Runnable silence, HistoryWriter history)
      throws IOException {
    server = HttpServer.create(new InetSocketAddress(address.host(), address.port()), 0);
    this.targets = List.copyOf(targets);
    this.silence = silence;
    this.history = history;
    server.createContext("/behaviour", this::changeBehaviour);
    server.createContext("/silence", this::silenceConnections);
    server.createContext("/targets", this::listTargets);
  }

  void start() {
    server.start();
  }

  void stop() {
    server.stop(0);
  }

  int port() {
    return server.getAddress().getPort();
  }

  private void changeBehaviour(HttpExchange exchange) throws IOException {
    Map<String, String> query = parseQuery(exchange.getRequestURI());
    Behaviour behaviour;
    try {
      behaviour = parseBehaviour(query);
    } catch (NumberFormatException e) {
      respond(exchange, BAD_REQUEST, "not a number: " + e.getMessage() + "\n");
      return;
    }
    String prefix = query.getOrDefault("target", "");
    int changed = 0;
    for (SlottedTarget target : targets) {
      if (target.address().startsWith(prefix)) {
        recordLeavingChange(target, behaviour);
        target.setBehaviour(behaviour);
        changed++;
      }
    }
    respond(exchange, OK, changed + " targets changed\n");
  }

  private void recordLeavingChange(SlottedTarget target, Behaviour next) {
    if (next.leaving() == target.behaviour().leaving()) {
      return;
    }
    if (next.leaving()) {
      history.write((at, by) -> new HistoryEvent.Leaving(at, by, target.address()));
    } else {
      history.write((at, by) -> new HistoryEvent.Back(at, by, target.address()));
    }
  }

  private void silenceConnections(HttpExchange exchange) throws IOException {
    silence.run();
    respond(exchange, OK, "open connections are silent\n");
  }

  private void listTargets(HttpExchange exchange) throws IOException {
    Map<String, Long> served = new TreeMap<>();
    for (SlottedTarget target : targets) {
      served.put(target.address(), target.servedCount());
    }
    StringBuilder text = new StringBuilder();
    served.forEach((address, count) -> text.append(address).append(' ').append(count).append('\n'));
    respond(exchange, OK, text.toString());
  }

  private static Behaviour parseBehaviour(Map<String, String> query) {
    return new Behaviour(
        Double.parseDouble(query.getOrDefault("slowdown", "1")),
        isOn(query, "fail-fast"),
        isOn(query, "shedding"),
        isOn(query, "leaving"),
        isOn(query, "idle-load-reported"),
        Integer.parseInt(query.getOrDefault("report-delay-ms", "0")),
        isOn(query, "broken-body"),
        isOn(query, "cold"),
        isOn(query, "refusing"));
  }

  private static boolean isOn(Map<String, String> query, String name) {
    return Boolean.parseBoolean(query.get(name));
  }

  private static Map<String, String> parseQuery(URI uri) {
    Map<String, String> values = new HashMap<>();
    if (uri.getRawQuery() == null) {
      return values;
    }
    for (String part : uri.getRawQuery().split("&")) {
      int equalsSign = part.indexOf('=');
      String name = equalsSign < 0 ? part : part.substring(0, equalsSign);
      String value = equalsSign < 0 ? "true" : part.substring(equalsSign + 1);
      values.put(name, URLDecoder.decode(value, StandardCharsets.UTF_8));
    }
    return values;
  }

  private static void respond(HttpExchange exchange, int status, String text) throws IOException {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    exchange.getRequestBody().readAllBytes();
    exchange.sendResponseHeaders(status, body.length);
    try (OutputStream out = exchange.getResponseBody()) {
      out.write(body);
    }
  }
}
