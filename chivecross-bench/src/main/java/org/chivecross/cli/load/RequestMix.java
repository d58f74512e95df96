package org.chivecross.cli.load;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.chivecross.model.fileset.FileSet;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.fileset.Rule;
import org.chivecross.model.fileset.Service;
import org.chivecross.model.fileset.TargetGroup;

/**
 * Draws random kinds of requests: first the class, weighted by its share, then a rule of that
 * class, weighted by the slots of its service. Immutable; the caller supplies the random source.
 */
final class RequestMix {

  private static final int PERCENT = 100;
  private static final String DEFAULT_HOST = "chivecross.test";

  private final Map<RequestClass, Integer> shares;
  private final Map<RequestClass, List<WeightedKind>> kinds;

  /**
   * A kind of request with its weight.
   *
   * @param kind kind of request
   * @param slots slots of all targets of the service; the weight of the kind
   */
  private record WeightedKind(RequestKind kind, int slots) {}

  private RequestMix(
      Map<RequestClass, Integer> shares, Map<RequestClass, List<WeightedKind>> kinds) {
    this.shares = shares;
    this.kinds = kinds;
  }

  /**
   * Builds the mix for a file set.
   *
   * @throws IllegalArgumentException if the shares are malformed or a class has no rule
   */
  static RequestMix of(FileSet files, String shares, List<String> services) {
    Map<RequestClass, List<WeightedKind>> kinds = new EnumMap<>(RequestClass.class);
    for (Service service : files.services()) {
      if (!services.isEmpty() && !services.contains(service.name())) {
        continue;
      }
      for (Rule rule : files.rules()) {
        if (rule.service().equals(service.name())) {
          kinds
              .computeIfAbsent(rule.requestClass(), any -> new ArrayList<>())
              .add(new WeightedKind(kindOf(service, rule), slotsOf(service)));
        }
      }
    }
    Map<RequestClass, Integer> parsed = parseShares(shares);
    for (RequestClass requestClass : parsed.keySet()) {
      if (!kinds.containsKey(requestClass)) {
        throw new IllegalArgumentException("--mix: no rule serves class " + requestClass);
      }
    }
    return new RequestMix(parsed, kinds);
  }

  /** Draws a kind of request. */
  RequestKind draw(SplittableRandom random) {
    int point = random.nextInt(PERCENT);
    RequestClass chosen = shares.keySet().iterator().next();
    for (Map.Entry<RequestClass, Integer> share : shares.entrySet()) {
      chosen = share.getKey();
      point -= share.getValue();
      if (point < 0) {
        break;
      }
    }
    return drawKind(kinds.getOrDefault(chosen, List.of()), random);
  }

  private static RequestKind drawKind(List<WeightedKind> candidates, SplittableRandom random) {
    int total = candidates.stream().mapToInt(WeightedKind::slots).sum();
    int point = random.nextInt(total);
    for (WeightedKind candidate : candidates) {
      point -= candidate.slots();
      if (point < 0) {
        return candidate.kind();
      }
    }
    return candidates.get(0).kind();
  }

  private static RequestKind kindOf(Service service, Rule rule) {
    List<String> targets = new ArrayList<>();
    for (TargetGroup group : service.targets()) {
      targets.addAll(group.addresses());
    }
    String host = rule.host().equals("*") ? DEFAULT_HOST : rule.host();
    String method = new TreeSet<>(rule.methods()).first();
    return new RequestKind(
        service.owner(),
        service.name(),
        rule.requestClass(),
        method,
        host,
        rule.pathPrefix(),
        targets);
  }

  private static int slotsOf(Service service) {
    int slots = 0;
    for (TargetGroup group : service.targets()) {
      slots += group.slots() * group.addresses().size();
    }
    return slots;
  }

  private static Map<RequestClass, Integer> parseShares(String text) {
    Map<RequestClass, Integer> shares = new EnumMap<>(RequestClass.class);
    int sum = 0;
    for (String part : text.split(",")) {
      int equalsSign = part.indexOf('=');
      if (equalsSign < 0) {
        throw new IllegalArgumentException("--mix: got \"" + part + "\", allowed: CLASS=SHARE");
      }
      RequestClass name =
          RequestClass.valueOf(part.substring(0, equalsSign).toUpperCase(Locale.ROOT));
      int share = Integer.parseInt(part.substring(equalsSign + 1));
      sum += share;
      if (share > 0) {
        shares.put(name, share);
      }
    }
    if (sum != PERCENT) {
      throw new IllegalArgumentException("--mix: shares add up to " + sum + ", allowed: 100");
    }
    return shares;
  }
}
