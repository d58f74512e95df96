package org.chivecross.wire.fleet;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.ruleset.CallerLimits;
import org.chivecross.model.ruleset.RouteRule;
import org.chivecross.model.ruleset.RuleSet;
import org.chivecross.model.ruleset.ServiceRule;
import org.chivecross.model.ruleset.WeightedService;
import org.chivecross.wire.generated.fleet.RouteNote;
import org.chivecross.wire.generated.fleet.RulesNote;
import org.chivecross.wire.generated.fleet.ServiceNote;
import org.chivecross.wire.generated.fleet.ShareNote;

/** Encodes rule sets to compressed bytes for datagrams and decodes them. Stateless. */
final class RulesCodec {

  /** Maximum size of a decompressed rule set, as a guard against decompression bombs. */
  private static final int MAX_UNPACKED_BYTES = 8 << 20;

  private static final int CHUNK_BYTES = 8 * 1024;

  private RulesCodec() {}

  static ByteString pack(RuleSet rules) {
    RulesNote.Builder note =
        RulesNote.newBuilder()
            .setVersion(rules.version())
            .setMaxHeadBytes(rules.limits().maxHeadBytes())
            .setMaxBodyBytes(rules.limits().maxBodyBytes())
            .setHeadTimeoutMillis(rules.limits().headTimeoutMillis())
            .setIdleTimeoutMillis(rules.limits().idleTimeoutMillis());
    rules.routes().forEach(route -> note.addRoutes(toNote(route)));
    for (ServiceRule service : rules.services()) {
      note.addServices(
          ServiceNote.newBuilder()
              .setName(service.name())
              .setHealthPath(service.healthPath())
              .setMaxConnections(service.maxConnections())
              .setWarmUpMillis(service.warmUpMillis())
              .setWarmUpRequestsPerSecond(service.warmUpRequestsPerSecond()));
    }
    return deflate(note.build().toByteArray());
  }

  /**
   * Unpacks a rule set.
   *
   * @throws InvalidProtocolBufferException if the bytes are not a valid packed rule set
   */
  static RuleSet unpack(ByteString packed) throws InvalidProtocolBufferException {
    RulesNote note = RulesNote.parseFrom(inflate(packed.toByteArray()));
    List<RouteRule> routes = new ArrayList<>();
    for (RouteNote route : note.getRoutesList()) {
      routes.add(toRule(route));
    }
    List<ServiceRule> services = new ArrayList<>();
    for (ServiceNote service : note.getServicesList()) {
      services.add(
          new ServiceRule(
              service.getName(),
              service.getHealthPath(),
              service.getMaxConnections(),
              service.getWarmUpMillis(),
              service.getWarmUpRequestsPerSecond()));
    }
    CallerLimits limits =
        new CallerLimits(
            note.getMaxHeadBytes(),
            note.getMaxBodyBytes(),
            note.getHeadTimeoutMillis(),
            note.getIdleTimeoutMillis());
    return new RuleSet(note.getVersion(), routes, services, limits);
  }

  private static RouteNote toNote(RouteRule route) {
    RouteNote.Builder note =
        RouteNote.newBuilder()
            .setName(route.name())
            .setHost(route.host())
            .setPrefix(route.prefix())
            .setRequestClass(route.requestClass().ordinal())
            .setTimeoutMillis(route.timeoutMillis())
            .setLatencyObjectiveMillis(route.latencyObjectiveMillis())
            .setMaxAttempts(route.maxAttempts())
            .setPriority(route.priority())
            .addAllHomeRegions(route.homeRegions());
    for (WeightedService share : route.services()) {
      note.addServices(
          ShareNote.newBuilder().setService(share.service()).setWeight(share.weight()));
    }
    return note.build();
  }

  private static RouteRule toRule(RouteNote note) throws InvalidProtocolBufferException {
    RequestClass[] classes = RequestClass.values();
    if (note.getRequestClass() >= classes.length || note.getServicesCount() == 0) {
      throw new InvalidProtocolBufferException("route has an unknown request class or no service");
    }
    return new RouteRule(
        note.getName(),
        note.getHost(),
        note.getPrefix(),
        note.getServicesList().stream()
            .map(share -> new WeightedService(share.getService(), share.getWeight()))
            .toList(),
        classes[note.getRequestClass()],
        note.getTimeoutMillis(),
        note.getLatencyObjectiveMillis(),
        note.getMaxAttempts(),
        note.getPriority(),
        List.copyOf(note.getHomeRegionsList()));
  }

  private static ByteString deflate(byte[] plain) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    deflater.setInput(plain);
    deflater.finish();
    ByteArrayOutputStream packed = new ByteArrayOutputStream();
    byte[] chunk = new byte[CHUNK_BYTES];
    while (!deflater.finished()) {
      packed.write(chunk, 0, deflater.deflate(chunk));
    }
    deflater.end();
    return ByteString.copyFrom(packed.toByteArray());
  }

  private static byte[] inflate(byte[] packed) throws InvalidProtocolBufferException {
    Inflater inflater = new Inflater();
    inflater.setInput(packed);
    ByteArrayOutputStream plain = new ByteArrayOutputStream();
    byte[] chunk = new byte[CHUNK_BYTES];
    try {
      while (!inflater.finished()) {
        int length = inflater.inflate(chunk);
        plain.write(chunk, 0, length);
        if (length == 0 || plain.size() > MAX_UNPACKED_BYTES) {
          throw new InvalidProtocolBufferException(
              "compressed rules are truncated, or larger than " + MAX_UNPACKED_BYTES + " bytes");
        }
      }
    } catch (DataFormatException e) {
      throw new InvalidProtocolBufferException(e.getMessage());
    } finally {
      inflater.end();
    }
    return plain.toByteArray();
  }
}
