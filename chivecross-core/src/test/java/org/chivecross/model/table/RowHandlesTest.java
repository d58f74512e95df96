package org.chivecross.model.table;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RowHandlesTest {

  private final RowHandles handles = new RowHandles(2);

  @Test
  void releasedHandleIsStaleAfterItsRowIsReused() {
    long first = handles.acquire();
    assertTrue(handles.release(first));
    long second = handles.acquire();
    assertEquals(RowHandles.row(first), RowHandles.row(second));
    assertNotEquals(first, second);
    assertFalse(handles.isLive(first));
    assertFalse(handles.release(first));
    assertTrue(handles.isLive(second));
  }

  @Test
  void acquireReturnsNoneWhenFull() {
    handles.acquire();
    handles.acquire();
    assertEquals(RowHandles.NONE, handles.acquire());
    assertEquals(2, handles.liveCount());
  }

  @Test
  void noneIsNeverLive() {
    handles.acquire();
    handles.acquire();
    assertFalse(handles.isLive(RowHandles.NONE));
  }
}
