package org.sequoiashunt.organisation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;

class OrganisationDirectoryTest {

    private static Organisation organisation(final String name) {
        return new Organisation(name, OptionalInt.empty(), Optional.empty(), Set.of());
    }

    /** Guards against a key that identifies the third organisation that claims it, or is counted for any of them. */
    @Test
    void keyThatSeveralClaimIdentifiesNoneAndIsNotCounted() {
        OrganisationDirectory.Builder builder = new OrganisationDirectory.Builder();
        assertTrue(builder.add(organisation("a"), Set.of("shared", "own")));
        assertFalse(builder.add(organisation("b"), Set.of("shared")));
        assertEquals(Set.of("a"), builder.findSharers("b"));
        assertFalse(builder.add(organisation("c"), Set.of("shared", "other")));
        assertEquals(Set.of("a", "b"), builder.findSharers("c"));
        OrganisationDirectory directory = builder.build();
        assertTrue(directory.findByKey("shared").isEmpty());
        assertEquals(1, directory.countKeys("a"));
        assertEquals(0, directory.countKeys("b"));
        assertEquals(1, directory.countKeys("c"));
        assertEquals(3, directory.organisations().size());
    }

    /** Guards against a key that passed to another organisation being reported as kept. */
    @Test
    void commonKeysIdentifyTheSameOrganisation() {
        OrganisationDirectory.Builder earlier = new OrganisationDirectory.Builder();
        earlier.add(organisation("a"), Set.of("kept", "passed"));
        OrganisationDirectory.Builder later = new OrganisationDirectory.Builder();
        later.add(organisation("a"), Set.of("kept"));
        later.add(organisation("b"), Set.of("passed"));
        assertEquals(1, later.build().countCommonKeys("a", earlier.build()));
        assertEquals(0, later.build().countCommonKeys("b", earlier.build()));
    }

    /** Guards against a warning on a usable key, and against a key with a line break at its end that passes. */
    @Test
    void countsKeysThatNoHeaderCanCarry() {
        OrganisationDirectory.Builder builder = new OrganisationDirectory.Builder();
        builder.add(organisation("a"), Set.of("x", "a b", "~a-1.=", "", " ", "x\n", " x", "x\u00e4", "x\ty"));
        assertEquals(6, builder.build().countUnsendableKeys("a"));
    }
}
