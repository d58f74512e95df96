package org.chivecross.cli.entry.metrics;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;

/** Measures how many bytes the live threads of this process have allocated. Stateless. */
public final class HeapAllocation {

  private HeapAllocation() {}

  /** Returns the sum over all live threads, in bytes; 0 if this JVM does not measure it. */
  public static long allocatedBytes() {
    if (!(ManagementFactory.getThreadMXBean() instanceof ThreadMXBean threads)) {
      return 0;
    }
    long sum = 0;
    for (long bytes : threads.getThreadAllocatedBytes(threads.getAllThreadIds())) {
      sum += Math.max(0, bytes);
    }
    return sum;
  }
}
