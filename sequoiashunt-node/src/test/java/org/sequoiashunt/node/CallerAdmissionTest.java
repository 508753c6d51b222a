package org.sequoiashunt.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.Reason;

class CallerAdmissionTest {

    private final CallerAdmission admission = new CallerAdmission(2, 100);

    @Test
    void refusesARequestBeyondTheMaximumNumber() {
        assertEquals(Optional.empty(), admission.tryAdmit(0));
        assertEquals(Optional.empty(), admission.tryAdmit(0));
        assertEquals(Optional.of(Reason.QUEUE_FULL), admission.tryAdmit(0));
        admission.release(0);
        assertEquals(Optional.empty(), admission.tryAdmit(0));
    }

    @Test
    void refusesARequestBeyondTheMaximumBodyBytes() {
        assertEquals(Optional.empty(), admission.tryAdmit(60));
        assertEquals(Optional.of(Reason.QUEUE_FULL), admission.tryAdmit(41));
        assertEquals(Optional.empty(), admission.tryAdmit(40));
    }

    @Test
    void drainRefusesNewRequestsAndCompletesAfterTheLastRelease() {
        admission.tryAdmit(10);
        CompletableFuture<Void> drained = admission.drain();
        assertEquals(Optional.of(Reason.DRAINING), admission.tryAdmit(0));
        assertFalse(drained.isDone());
        admission.release(10);
        assertTrue(drained.isDone());
    }

    @Test
    void rejectsLimitsThatAreNotPositive() {
        assertThrows(IllegalArgumentException.class, () -> new CallerAdmission(0, 1));
        assertThrows(IllegalArgumentException.class, () -> new CallerAdmission(1, 0));
    }
}
