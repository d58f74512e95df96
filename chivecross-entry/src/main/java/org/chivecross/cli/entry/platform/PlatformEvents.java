package org.chivecross.cli.entry.platform;

import java.util.List;
import org.chivecross.logic.config.PlatformValue;
import org.chivecross.model.failure.Result;

/** Takes the answers of the platform. Called on threads of the HTTP client; must not block. */
public interface PlatformEvents {

  /** A read or a watch of the manifest was answered, or it failed. */
  void manifestRead(boolean watch, Result<PlatformValue> result);

  /** A read of a file was answered, or it failed. */
  void fileRead(String digest, Result<byte[]> result);

  /** The list of VMs was read. */
  void vmsRead(List<ListedVm> vms);
}
