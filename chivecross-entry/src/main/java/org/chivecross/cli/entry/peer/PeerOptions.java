package org.chivecross.cli.entry.peer;

import org.chivecross.logic.settings.AllowedRange;
import org.chivecross.logic.settings.ProgramOptions;
import org.kohsuke.args4j.Option;

/** Flags for the connection of an entry to the platform and to other entries. Not thread-safe. */
public abstract class PeerOptions extends ProgramOptions {

  @Option(
      name = "--platform",
      metaVar = "URL",
      usage = "configuration service; without it the file set is read once, from --files")
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
      usage = "address at which other entries reach this one; --peer-listen when empty")
  private String peerAdvertise = "";

  @Option(
      name = "--advertise",
      metaVar = "IP:PORT",
      usage = "address at which callers reach this entry; --listen when empty")
  private String advertise = "";

  @Option(
      name = "--peers",
      metaVar = "IP:PORT,...",
      usage = "addresses of other entries to contact at the start; one that is alive is enough")
  private String peers = "";

  @Option(
      name = "--entry-bound",
      metaVar = "COUNT",
      usage = "maximum number of live entries; the platform's call rate is divided by this number")
  @AllowedRange(min = 1, max = 10_000)
  private int entryBound = 20;

  @Option(name = "--peer-certificate", metaVar = "FILE", usage = "PEM certificate chain for peers")
  private String peerCertificate = "";

  @Option(name = "--peer-key", metaVar = "FILE", usage = "PEM private key (PKCS #8) for peers")
  private String peerKey = "";

  @Option(
      name = "--peer-authority",
      metaVar = "FILE",
      usage = "PEM certificates of the authorities that sign the certificates of entries")
  private String peerAuthority = "";

  @Option(
      name = "--plain-peers",
      usage = "communicate with other entries without TLS; for a trusted network only")
  private boolean plainPeers;

  @Option(
      name = "--stop-deadline",
      metaVar = "SECONDS",
      usage = "maximum duration of a graceful stop, in s; requests still in flight then are cut")
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
