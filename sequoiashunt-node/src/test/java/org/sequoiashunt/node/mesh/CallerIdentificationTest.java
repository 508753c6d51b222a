package org.sequoiashunt.node.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.mesh.MeshRoute;
import org.sequoiashunt.mesh.RequestKind;
import org.sequoiashunt.mesh.WeightedService;
import org.sequoiashunt.organisation.Organisation;
import org.sequoiashunt.organisation.OrganisationDirectory;

/** Guards against requests that run for an organisation that does not hold their key, and keys that are passed on. */
class CallerIdentificationTest {

    private static final MeshRoute CLOSED_ROUTE = route(false);
    private static final MeshRoute ANONYMOUS_ROUTE = route(true);

    private final OrganisationDirectory organisations = directory();

    private static MeshRoute route(final boolean anonymous) {
        return new MeshRoute(
                "look",
                "desk",
                "/",
                List.of(new WeightedService("desk", 1)),
                RequestKind.IDEMPOTENT,
                1_500,
                500,
                1,
                2,
                anonymous,
                Set.of());
    }

    private static OrganisationDirectory directory() {
        OrganisationDirectory.Builder builder = new OrganisationDirectory.Builder();
        builder.add(new Organisation("urgent", OptionalInt.of(2), Optional.empty(), Set.of()), Set.of("key-1"));
        builder.add(new Organisation("other", OptionalInt.empty(), Optional.empty(), Set.of()), Set.of("key-2"));
        return builder.build();
    }

    private CallerIdentification identify(final MeshRoute route, final String... authorizations) {
        HeaderMap headers = new HeaderMap();
        for (String authorization : authorizations) {
            headers.add(Headers.AUTHORIZATION, authorization);
        }
        return CallerIdentification.of(headers, route, organisations);
    }

    @Test
    void knownKeyNamesItsOrganisation() {
        for (String value : List.of("Bearer key-1", "bearer key-1", "Bearer   key-1 ")) {
            CallerIdentification identification = identify(CLOSED_ROUTE, value);
            assertTrue(identification.permitted(), value);
            assertEquals("urgent", identification.organisation().orElseThrow().name(), value);
            assertEquals(2, identification.rank(), value);
        }
    }

    @Test
    void anyOtherValueIsRefusedUnlessTheRouteIsAnonymous() {
        for (String value : List.of("", "Bearer", "Bearer ", "Bearerkey-1", "Basic key-1", "key-1", "Bearer KEY-1")) {
            assertFalse(identify(CLOSED_ROUTE, value).permitted(), value);
            CallerIdentification anonymous = identify(ANONYMOUS_ROUTE, value);
            assertTrue(anonymous.permitted() && anonymous.organisation().isEmpty(), value);
        }
        assertFalse(identify(CLOSED_ROUTE).permitted());
        assertFalse(identify(CLOSED_ROUTE, "Bearer key-1", "Bearer key-2").permitted());
    }

    @Test
    void requestWithoutOrganisationHasTheMostUrgentRankAndOneWithoutStatedRankTheLeast() {
        assertEquals(2, identify(ANONYMOUS_ROUTE).rank());
        assertTrue(identify(CLOSED_ROUTE, "Bearer key-2").rank() > 2);
    }

    @Test
    void keyAndClaimedOrganisationAreRemovedOnlyWhereKeysAreInUse() {
        CallerIdentification identification = identify(ANONYMOUS_ROUTE, "Bearer key-1");
        assertTrue(identification.removesHeader("authorization", "Organisation"));
        assertTrue(identification.removesHeader("ORGANISATION", "Organisation"));
        assertFalse(identification.removesHeader("Accept", "Organisation"));
        CallerIdentification withoutKeys =
                CallerIdentification.of(new HeaderMap(), CLOSED_ROUTE, OrganisationDirectory.NONE);
        assertTrue(withoutKeys.permitted());
        assertFalse(withoutKeys.removesHeader("Authorization", "Organisation"));
    }
}
