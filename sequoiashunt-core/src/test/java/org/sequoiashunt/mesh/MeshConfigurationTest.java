package org.sequoiashunt.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.organisation.Organisation;
import org.sequoiashunt.organisation.OrganisationDirectory;

class MeshConfigurationTest {

    private static MeshRoute route(final String name, final String prefix, final String service) {
        return new MeshRoute(
                name,
                "desk.example",
                prefix,
                List.of(new WeightedService(service, 1)),
                RequestKind.IDEMPOTENT,
                500,
                100,
                0,
                2,
                false,
                Set.of());
    }

    private static MeshConfiguration of(final MeshRoute... routes) {
        return MeshConfiguration.of(1, List.of(routes), Set.of("desk"), CallerLimits.defaults());
    }

    @Test
    void matchesLongestPrefix() {
        MeshConfiguration configuration = of(route("short", "/a/", "desk"), route("long", "/a/b/", "desk"));
        assertEquals(
                "long",
                configuration.match("desk.example", "/a/b/c").orElseThrow().name());
        assertEquals(
                "short",
                configuration.match("DESK.example:80", "/a/x").orElseThrow().name());
        assertEquals(
                "long",
                configuration.match("desk.example", "/a/b/").orElseThrow().name());
    }

    @Test
    void prefixMatchesWholePathSegmentsOnly() {
        MeshConfiguration configuration = of(route("only", "/a/", "desk"));
        assertTrue(configuration.match("desk.example", "/ab").isEmpty());
        assertTrue(configuration.match("desk.example", "/a").isEmpty());
        assertTrue(configuration.match("other.example", "/a/").isEmpty());
    }

    @Test
    void rejectsInvalidRoutes() {
        assertThrows(IllegalArgumentException.class, () -> of(route("r", "/a/", "missing")));
        assertThrows(IllegalArgumentException.class, () -> of(route("r", "/a/", "desk"), route("s", "/a/", "desk")));
        assertThrows(IllegalArgumentException.class, () -> route("r", "a", "desk"));
        assertThrows(
                IllegalArgumentException.class,
                () -> new MeshRoute(
                        "r",
                        "h",
                        "/",
                        List.of(new WeightedService("desk", 0)),
                        RequestKind.IDEMPOTENT,
                        1,
                        1,
                        0,
                        1,
                        false,
                        Set.of()));
    }

    /** Guards against calls that are given up in other deployments, or without a second attempt. */
    @Test
    void silentCallsAreGivenUpOnlyWithFairSharesAndASecondAttempt() {
        assertFalse(of(route("r", "/", "desk")).givesUpSilentCalls("r"));
        for (RequestKind kind : RequestKind.values()) {
            for (int attempts = 1; attempts <= 2; attempts++) {
                MeshRoute route = new MeshRoute(
                        "r",
                        "h",
                        "/",
                        List.of(new WeightedService("desk", 1)),
                        kind,
                        1,
                        1,
                        0,
                        attempts,
                        false,
                        Set.of());
                assertEquals(
                        kind == RequestKind.DOWNLOAD && attempts == 2, of(route).givesUpSilentCalls("r"), kind.name());
            }
        }
    }

    /** Guards against fair shares in deployments that do not call for them. */
    @Test
    void onlyOrganisationsAndLargeBodiesCallForFairShares() {
        assertFalse(of(route("r", "/", "desk")).usesFairShares());
        for (RequestKind kind : RequestKind.values()) {
            MeshRoute route = new MeshRoute(
                    "r", "h", "/", List.of(new WeightedService("desk", 1)), kind, 1, 1, 0, 1, false, Set.of());
            assertEquals(kind.hasLargeBodies(), of(route).usesFairShares(), kind.name());
        }
        OrganisationDirectory.Builder builder = new OrganisationDirectory.Builder();
        builder.add(new Organisation("o-1", OptionalInt.empty(), Optional.empty(), Set.of()), Set.of("key"));
        assertTrue(MeshConfiguration.of(
                        1,
                        List.of(),
                        Map.of(),
                        CallerLimits.defaults(),
                        builder.build(),
                        MeshConfiguration.Omissions.NONE)
                .usesFairShares());
    }
}
