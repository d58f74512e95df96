package org.chivecross.wire;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chivecross.model.failure.Failure;
import org.chivecross.model.failure.Result;
import org.chivecross.model.failure.Step;
import org.jspecify.annotations.Nullable;

/**
 * TLS configuration of the connections between entries: mutual TLS, or none on a trusted network.
 * Safe for use by many threads.
 *
 * <p>Invariant: the TLS contexts in use come from one valid set of files. If changed files are
 * invalid, the previous contexts stay in use.
 */
public final class PeerSecurity {

  private static final String TLS_VERSION = "TLSv1.3";

  /**
   * Files of the TLS identity, in PEM form.
   *
   * @param certificate certificate chain of this entry
   * @param key private key of this entry, PKCS #8
   * @param authority CA certificates that signed the certificates of all entries
   */
  public record TlsFiles(Path certificate, Path key, Path authority) {}

  /** TLS contexts for accepted and for opened connections, built from the same files. */
  private record Contexts(SslContext server, SslContext client, List<FileTime> lastModified) {}

  private final @Nullable TlsFiles files;
  private volatile @Nullable Contexts contexts;

  private PeerSecurity(@Nullable TlsFiles files) {
    this.files = files;
  }

  /** Returns a configuration without TLS, for a trusted network. */
  public static PeerSecurity plain() {
    return new PeerSecurity(null);
  }

  /** Returns a configuration with mutual TLS, or a failure if the files are missing or invalid. */
  public static Result<PeerSecurity> tls(TlsFiles files) {
    PeerSecurity security = new PeerSecurity(files);
    return security.reload().flatMap(unused -> Result.success(security));
  }

  /**
   * Reloads the files if the modification time of any has changed. Blocks while reading.
   *
   * @return true if new contexts are in use
   */
  public Result<Boolean> reload() {
    TlsFiles current = files;
    if (current == null) {
      return Result.success(false);
    }
    try {
      List<FileTime> lastModified = new ArrayList<>();
      for (Path file : List.of(current.certificate(), current.key(), current.authority())) {
        lastModified.add(Files.getLastModifiedTime(file));
      }
      Contexts previous = contexts;
      if (previous != null && previous.lastModified().equals(lastModified)) {
        return Result.success(false);
      }
      contexts = new Contexts(server(current), client(current), lastModified);
      return Result.success(true);
    } catch (IOException | IllegalArgumentException e) {
      return Result.failed(
          Step.SETTINGS,
          Failure.LOCAL,
          "can't use the TLS files of the peer port: " + e.getMessage());
    }
  }

  Optional<SslContext> server() {
    Contexts current = contexts;
    return current == null ? Optional.empty() : Optional.of(current.server());
  }

  Optional<SslContext> client() {
    Contexts current = contexts;
    return current == null ? Optional.empty() : Optional.of(current.client());
  }

  private static SslContext server(TlsFiles files) throws IOException {
    return SslContextBuilder.forServer(files.certificate().toFile(), files.key().toFile())
        .trustManager(files.authority().toFile())
        .clientAuth(ClientAuth.REQUIRE)
        .protocols(TLS_VERSION)
        .build();
  }

  private static SslContext client(TlsFiles files) throws IOException {
    // Certificates are checked against the common CA only: entries have changing IP addresses.
    return SslContextBuilder.forClient()
        .keyManager(files.certificate().toFile(), files.key().toFile())
        .trustManager(files.authority().toFile())
        .endpointIdentificationAlgorithm(null)
        .protocols(TLS_VERSION)
        .build();
  }
}
