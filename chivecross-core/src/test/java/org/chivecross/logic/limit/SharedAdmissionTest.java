package org.chivecross.logic.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.chivecross.logic.balance.SharedRandom;
import org.chivecross.logic.limit.AdmissionControl.Verdict;
import org.chivecross.model.fileset.RequestClass;
import org.chivecross.model.table.ServiceTable;
import org.junit.jupiter.api.Test;

class SharedAdmissionTest {

  private static final long SECOND = 1_000_000_000L;
  private static final int ENTRY_CONCURRENCY = 10;
  private static final LimitShare WIDE = new LimitShare(1_000, 1, 1_000_000);

  private final ServiceTable services = new ServiceTable(2);
  private final ServiceTable tenants = new ServiceTable(2);
  private final SharedAdmission admission =
      new SharedAdmission(services, tenants, new SharedRandom(3), ENTRY_CONCURRENCY);

  SharedAdmissionTest() {
    AdmissionView.ServiceLimits[] limits = new AdmissionView.ServiceLimits[2];
    for (int i = 0; i < limits.length; i++) {
      int row = services.acquire("service-" + i);
      int tenant = tenants.acquire("tenant-" + i);
      limits[row] = new AdmissionView.ServiceLimits(WIDE, WIDE, tenant, 0.5, 2);
    }
    admission.apply(new AdmissionView(limits));
  }

  private Verdict admit(int service, RequestClass requestClass, long leftNanos) {
    return admission.admit(service, requestClass, SECOND + leftNanos, SECOND);
  }

  private int shed(RequestClass requestClass) {
    int shed = 0;
    for (int i = 0; i < 1_000; i++) {
      Verdict verdict = admit(0, requestClass, SECOND);
      if (verdict == Verdict.SHED) {
        shed++;
      } else if (verdict == Verdict.ADMITTED) {
        admission.release(0, requestClass, SECOND);
      }
    }
    return shed;
  }

  @Test
  void fullEntryLeavesEachTenantItsFairShare() {
    for (int i = 0; i < ENTRY_CONCURRENCY; i++) {
      assertEquals(Verdict.ADMITTED, admit(0, RequestClass.READ, SECOND));
    }
    assertEquals(Verdict.LIMITED, admit(0, RequestClass.READ, SECOND));
    assertEquals(Verdict.ADMITTED, admit(1, RequestClass.READ, SECOND));
  }

  @Test
  void uploadsAreShedFirstAndReadsLast() {
    services.setMeanLoad(0, 1 + 2 * 0.35);
    int uploads = shed(RequestClass.UPLOAD);
    int writes = shed(RequestClass.WRITE);
    assertTrue(uploads > writes && writes > 0, uploads + " uploads, " + writes + " writes");
    assertEquals(0, shed(RequestClass.READ));
    services.setMeanLoad(0, 1 + 2 * 1.5);
    assertEquals(1_000, shed(RequestClass.READ));
  }

  @Test
  void requestThatCannotBeAnsweredInTimeIsRefusedAtOnce() {
    services.recordLatency(0, 20_000_000);
    assertEquals(Verdict.TOO_LATE, admit(0, RequestClass.READ, 5_000_000));
    assertEquals(Verdict.ADMITTED, admit(0, RequestClass.READ, 50_000_000));
  }

  @Test
  void retryAfterIsJittered() {
    long first = admission.retryAfterMillis(0, RequestClass.READ, SECOND);
    long second = admission.retryAfterMillis(0, RequestClass.READ, SECOND);
    assertTrue(first >= 1 && second >= 1 && first != second, first + " and " + second);
  }
}
