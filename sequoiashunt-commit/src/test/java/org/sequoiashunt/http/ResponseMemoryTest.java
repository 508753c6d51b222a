package org.sequoiashunt.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ResponseMemoryTest {

    private final ResponseMemory memory = new ResponseMemory(100);
    private final List<String> revoked = new ArrayList<>();

    private ResponseMemory.Share open(final String name) {
        return memory.open(() -> revoked.add(name));
    }

    @Test
    void largestResponseIsGivenUpForASmallOne() throws ResponseTooLargeException {
        ResponseMemory.Share largest = open("largest");
        ResponseMemory.Share other = open("other");
        largest.reserve(60);
        other.reserve(40);
        open("small").reserve(10);
        assertEquals(List.of("largest"), revoked);
        assertEquals(50, memory.heldBytes());
        assertThrows(ResponseTooLargeException.class, () -> largest.reserve(1));
        assertFalse(largest.retain());
    }

    @Test
    void largestResponseIsRefusedMoreMemory() throws ResponseTooLargeException {
        ResponseMemory.Share largest = open("largest");
        largest.reserve(60);
        open("other").reserve(40);
        assertThrows(ResponseTooLargeException.class, () -> largest.reserve(1));
        assertEquals(List.of(), revoked);
    }

    @Test
    void completeResponseIsNotGivenUp() throws ResponseTooLargeException {
        ResponseMemory.Share complete = open("complete");
        complete.reserve(90);
        assertTrue(complete.retain());
        ResponseMemory.Share small = open("small");
        small.reserve(10);
        assertThrows(ResponseTooLargeException.class, () -> small.reserve(10));
        complete.close();
        small.reserve(10);
        assertEquals(List.of(), revoked);
        assertEquals(20, memory.heldBytes());
    }

    @Test
    void closedShareHoldsNothing() throws ResponseTooLargeException {
        ResponseMemory.Share share = open("share");
        share.reserve(90);
        share.close();
        share.close();
        assertEquals(0, memory.heldBytes());
        assertThrows(ResponseTooLargeException.class, () -> share.reserve(1));
    }
}
