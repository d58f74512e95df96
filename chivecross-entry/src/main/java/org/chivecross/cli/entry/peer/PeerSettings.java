package org.chivecross.cli.entry.peer;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.chivecross.wire.PeerSecurity;

/**
 * Validated settings for the connection of an entry to the platform and to other entries.
 * Immutable.
 *
 * @param platform configuration service; empty when the file set is read from a directory
 * @param deployment name of the deployment
 * @param dataCentre data centre of this entry
 * @param peerListen address for other entries
 * @param peerAdvertise address at which other entries reach this one; empty for the bound one
 * @param advertise address at which callers reach this entry; empty for the bound one
 * @param peers addresses of other entries to contact at the start
 * @param entryBound maximum number of live entries
 * @param security TLS settings of the connections between entries
 * @param stopDeadline maximum duration of a graceful stop
 */
public record PeerSettings(
    Optional<URI> platform,
    String deployment,
    String dataCentre,
    InetSocketAddress peerListen,
    String peerAdvertise,
    String advertise,
    List<String> peers,
    int entryBound,
    PeerSecurity security,
    Duration stopDeadline) {

  private static final int MAX_PORT = 65_535;

  public PeerSettings {
    peers = List.copyOf(peers);
  }

  /** Validates the flags; a failure names the first invalid one. */
  public static Result<PeerSettings> of(PeerOptions options) {
    try {
      return security(options).flatMap(security -> Result.success(create(options, security)));
    } catch (IllegalArgumentException e) {
      return Result.failed(Step.SETTINGS, Failure.LOCAL, String.valueOf(e.getMessage()));
    }
  }

  private static PeerSettings create(PeerOptions options, PeerSecurity security) {
    Optional<URI> platform = platform(options.platform());
    if (platform.isPresent() && options.deployment().isEmpty()) {
      throw invalid("--deployment", options.deployment(), "a name, since --platform is set");
    }
    if (options.dataCentre().isEmpty()) {
      throw invalid("--data-centre", options.dataCentre(), "a name");
    }
    List<String> peers = new ArrayList<>();
    for (String peer : options.peers().split(",", -1)) {
      if (!peer.isBlank()) {
        address("--peers", peer.strip());
        peers.add(peer.strip());
      }
    }
    return new PeerSettings(
        platform,
        options.deployment(),
        options.dataCentre(),
        address("--peer-listen", options.peerListen()),
        optionalAddress("--peer-advertise", options.peerAdvertise()),
        optionalAddress("--advertise", options.advertise()),
        peers,
        options.entryBound(),
        security,
        Duration.ofSeconds(options.stopDeadlineSeconds()));
  }

  private static Result<PeerSecurity> security(PeerOptions options) {
    List<String> files =
        List.of(options.peerCertificate(), options.peerKey(), options.peerAuthority());
    boolean all = files.stream().noneMatch(String::isEmpty);
    boolean none = files.stream().allMatch(String::isEmpty);
    if (options.isPlainPeers() || (none && options.platform().isEmpty())) {
      return Result.success(PeerSecurity.plain());
    }
    if (!all) {
      throw invalid(
          "--peer-certificate, --peer-key, --peer-authority",
          String.join(",", files),
          "all three files, or --plain-peers on a trusted network");
    }
    return PeerSecurity.tls(
        new PeerSecurity.TlsFiles(
            Path.of(files.get(0)), Path.of(files.get(1)), Path.of(files.get(2))));
  }

  private static Optional<URI> platform(String text) {
    if (text.isEmpty()) {
      return Optional.empty();
    }
    URI uri = URI.create(text);
    boolean usable = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
    if (!usable || uri.getAuthority() == null) {
      throw invalid("--platform", text, "http://HOST:PORT or https://HOST:PORT");
    }
    return Optional.of(uri);
  }

  private static String optionalAddress(String flag, String text) {
    if (!text.isEmpty()) {
      address(flag, text);
    }
    return text;
  }

  private static InetSocketAddress address(String flag, String text) {
    int colon = text.lastIndexOf(':');
    try {
      int port = colon <= 0 ? -1 : Integer.parseInt(text.substring(colon + 1));
      if (port >= 0 && port <= MAX_PORT) {
        return new InetSocketAddress(text.substring(0, colon), port);
      }
    } catch (NumberFormatException e) {
      throw invalid(flag, text, "IP:PORT");
    }
    throw invalid(flag, text, "IP:PORT");
  }

  private static IllegalArgumentException invalid(String flag, String given, String allowed) {
    return new IllegalArgumentException(flag + ": got \"" + given + "\", allowed: " + allowed);
  }
}
