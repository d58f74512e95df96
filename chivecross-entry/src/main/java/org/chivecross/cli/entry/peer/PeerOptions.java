package org.chivecross.cli.entry.peer;

import org.chivecross.logic.settings.AllowedRange;
import org.chivecross.logic.settings.ProgramOptions;
import org.kohsuke.args4j.Option;

/** Flags of an entry towards the platform and the other entries. Not thread-safe. */
public abstract class PeerOptions extends ProgramOptions {

  @Option(
      name = "--platform",
      metaVar = "URL",
      usage = "configuration service; without it the set is read from --files and never changes")
  private String platform = "";

  @Option(name = "--deployment", metaVar = "NAME", usage = "name of the deployment")
  private String deployment = "";

  @Option(name = "--data-centre", metaVar = "NAME", usage = "data centre of this entry")
  private String dataCentre = "default";

  @Option(name = "--peer-listen", metaVar = "HOST:PORT", usage = "address for other entries")
  private String peerListen = "127.0.0.1:7400";

  @Option(
      name = "--peer-advertise",
      metaVar = "IP:PORT",
      usage = "address that other entries reach this one at; --peer-listen when empty")
  private String peerAdvertise = "";

  @Option(
      name = "--advertise",
      metaVar = "IP:PORT",
      usage = "address that callers reach this entry at; --listen when empty")
  private String advertise = "";

  @Option(
      name = "--peers",
      metaVar = "IP:PORT,...",
      usage = "addresses of other entries to ask first; any that live will do")
  private String peers = "";

  @Option(
      name = "--entry-bound",
      metaVar = "COUNT",
      usage = "most entries alive at once; the platform's rate is shared by this number")
  @AllowedRange(min = 1, max = 10_000)
  private int entryBound = 20;

  @Option(name = "--peer-certificate", metaVar = "FILE", usage = "PEM certificate chain for peers")
  private String peerCertificate = "";

  @Option(name = "--peer-key", metaVar = "FILE", usage = "PEM private key (PKCS #8) for peers")
  private String peerKey = "";

  @Option(
      name = "--peer-authority",
      metaVar = "FILE",
      usage = "PEM certificates that signed those of all entries")
  private String peerAuthority = "";

  @Option(
      name = "--plain-peers",
      usage = "talk to other entries without TLS, on a trusted network only")
  private boolean plainPeers;

  @Option(
      name = "--stop-deadline",
      metaVar = "SECONDS",
      usage = "longest graceful stop; what is still in flight then is cut, in s")
  @AllowedRange(min = 1, max = 86_400)
  private int stopDeadlineSeconds = 120;

  /** Creates options with their defaults. */
  protected PeerOptions() {}

  String platform() {
    return platform;
  }

  String deployment() {
    return deployment;
  }

  String dataCentre() {
    return dataCentre;
  }

  String peerListen() {
    return peerListen;
  }

  String peerAdvertise() {
    return peerAdvertise;
  }

  String advertise() {
    return advertise;
  }

  String peers() {
    return peers;
  }

  int entryBound() {
    return entryBound;
  }

  String peerCertificate() {
    return peerCertificate;
  }

  String peerKey() {
    return peerKey;
  }

  String peerAuthority() {
    return peerAuthority;
  }

  boolean isPlainPeers() {
    return plainPeers;
  }

  int stopDeadlineSeconds() {
    return stopDeadlineSeconds;
  }
}
