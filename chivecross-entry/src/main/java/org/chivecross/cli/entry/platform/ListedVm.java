package org.chivecross.cli.entry.platform;

/**
 * VM in the platform's list of VMs. Immutable.
 *
 * @param address IP address
 * @param peerAddress {@code ip:port} at which peers reach its entry; empty when it runs no entry
 * @param leaving whether the platform lists it as leaving
 */
public record ListedVm(String address, String peerAddress, boolean leaving) {}
