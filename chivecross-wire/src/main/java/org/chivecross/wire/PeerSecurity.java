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
 * Mutual TLS between entries, or none on a trusted network. Safe for use by many threads.
 *
 * <p>Invariant: the contexts in use come from files that were valid together; files that can't be
 * used leave the earlier contexts in place.
 */
public final class PeerSecurity {

  private static final String TLS_VERSION = "TLSv1.3";

  /**
   * Files of the TLS identity, in PEM form.
   *
   * @param certificate chain of this entry
   * @param key private key of this entry, PKCS #8
   * @param authority certificates that signed those of all entries
   */
  public record TlsFiles(Path certificate, Path key, Path authority) {}

  /** Contexts of both sides, from the same files. */
  private record Contexts(SslContext server, SslContext client, List<FileTime> lastModified) {}

  private final @Nullable TlsFiles files;
  private volatile @Nullable Contexts contexts;

  private PeerSecurity(@Nullable TlsFiles files) {
    this.files = files;
  }

  /** Returns the security of a trusted network: none. */
  public static PeerSecurity plain() {
    return new PeerSecurity(null);
  }

  /** Returns mutual TLS; fails when the files can't be used. */
  public static Result<PeerSecurity> tls(TlsFiles files) {
    PeerSecurity security = new PeerSecurity(files);
    return security.reload().flatMap(unused -> Result.success(security));
  }

  /**
   * Reads the files again when any has changed. Blocks while reading.
   *
   * @return whether new contexts are in use
   */
  public Result<Boolean> reload() {
    TlsFiles current = files;
    if (current == null) {
      return Result.success(false);
    }
    try {
      List<FileTime> changed = new ArrayList<>();
      for (Path file : List.of(current.certificate(), current.key(), current.authority())) {
        changed.add(Files.getLastModifiedTime(file));
      }
      Contexts old = contexts;
      if (old != null && old.lastModified().equals(changed)) {
        return Result.success(false);
      }
      contexts = new Contexts(server(current), client(current), changed);
      return Result.success(true);
    } catch (IOException | IllegalArgumentException e) {
      return Result.failed(
          Step.SETTINGS, Failure.LOCAL, "TLS files of the peer port: " + e.getMessage());
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
    // Entries are addressed by IP numbers that change; the common authority vouches for them.
    return SslContextBuilder.forClient()
        .keyManager(files.certificate().toFile(), files.key().toFile())
        .trustManager(files.authority().toFile())
        .endpointIdentificationAlgorithm(null)
        .protocols(TLS_VERSION)
        .build();
  }
}
