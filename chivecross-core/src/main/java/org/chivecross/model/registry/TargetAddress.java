package org.chivecross.model.registry;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Address on which a target listens. Immutable and safe for use by many threads.
 *
 * <p>Invariant: a connection can be opened to each address, as far as its form tells: it is an IPv4
 * address of one host and a port from 1 to 65535.
 *
 * @param ip the four bytes of the IP address, the first one in the highest bits
 * @param port TCP port
 */
public record TargetAddress(int ip, int port) {

  private static final Pattern FORM =
      Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");

  private static final int OCTETS = 4;
  private static final int MAX_OCTET = 255;
  private static final int MAX_PORT = 65_535;

  /** First octet of the multicast addresses; those from there on name no host. */
  private static final int FIRST_MULTICAST_OCTET = 224;

  /**
   * Creates an address.
   *
   * @throws IllegalArgumentException if no connection can be opened to it
   */
  public TargetAddress {
    int first = octet(ip, 0);
    if (first == 0 || first >= FIRST_MULTICAST_OCTET || port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException("no address of a host and port: " + text(ip, port));
    }
  }

  /** Reads an address of the form {@code ip:port}; empty if it is none. */
  public static Optional<TargetAddress> parse(String text) {
    Matcher form = FORM.matcher(text);
    if (!form.matches()) {
      return Optional.empty();
    }
    int ip = 0;
    for (int i = 1; i <= OCTETS; i++) {
      int octet = Integer.parseInt(form.group(i));
      if (octet > MAX_OCTET) {
        return Optional.empty();
      }
      ip = ip << Byte.SIZE | octet;
    }
    try {
      return Optional.of(new TargetAddress(ip, Integer.parseInt(form.group(OCTETS + 1))));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /**
   * Returns the address of the form {@code ip:port}.
   *
   * @throws IllegalArgumentException if the text is no such address
   */
  public static TargetAddress of(String text) {
    return parse(text).orElseThrow(() -> new IllegalArgumentException("no address: " + text));
  }

  /** Returns the four bytes of the IP address. */
  public byte[] ipBytes() {
    byte[] bytes = new byte[OCTETS];
    for (int i = 0; i < OCTETS; i++) {
      bytes[i] = (byte) octet(ip, i);
    }
    return bytes;
  }

  @Override
  public String toString() {
    return text(ip, port);
  }

  private static int octet(int ip, int index) {
    return ip >>> (OCTETS - 1 - index) * Byte.SIZE & MAX_OCTET;
  }

  private static String text(int ip, int port) {
    return octet(ip, 0) + "." + octet(ip, 1) + "." + octet(ip, 2) + "." + octet(ip, 3) + ":" + port;
  }
}
