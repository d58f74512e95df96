package org.chivecross.cli.entry.platform;

import java.util.List;
import org.chivecross.logic.config.PlatformValue;
import org.chivecross.model.failure.Result;

/** Receives the answers of the platform. Called on threads of the HTTP client; must not block. */
public interface PlatformEvents {

  /** Called when a read or, if {@code isWatch}, a watch of the manifest was answered or failed. */
  void manifestRead(boolean isWatch, Result<PlatformValue> result);

  /** Called when a read of a file was answered or failed. */
  void fileRead(String digest, Result<byte[]> result);

  /** Called when the list of VMs was read. */
  void vmsRead(List<ListedVm> vms);
}
