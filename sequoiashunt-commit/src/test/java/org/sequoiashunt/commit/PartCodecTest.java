package org.sequoiashunt.commit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiashunt.configuration.ConfigurationException;
import org.sequoiashunt.configuration.Move;
import org.sequoiashunt.configuration.Route;
import org.sequoiashunt.configuration.ServiceConfiguration;

final class PartCodecTest {

    private static final String NO_FORMER_GROUPS = "{\"formerHomeGroups\":[],";

    private static final String CANONICAL = "{\"formerHomeGroups\":[],\"homeGroups\":[\"bac-bo\"],"
            + "\"move\":{\"finishByMs\":5,\"from\":\"1\",\"to\":\"2\"},"
            + "\"routes\":[{\"idempotent\":false,\"methods\":[\"GET\",\"POST\"],\"name\":\"all\","
            + "\"pathPrefix\":\"/\",\"timeoutMs\":9}],\"service\":\"lot-ledger\",\"version\":\"1\"}";

    @Test
    void partIsWrittenAsCanonicalJson() throws ConfigurationException {
        byte[] part = PartCodec.write(service("POST", "GET"));
        assertEquals(CANONICAL, new String(part, StandardCharsets.UTF_8));
        assertEquals(PartCodec.digest(part), PartCodec.digest(service("GET", "POST")));
        assertNotEquals(PartCodec.digest(part), PartCodec.digest(service("GET")));
        assertEquals(service("GET", "POST"), PartCodec.read(PartCodec.digest(part), part));
    }

    @Test
    void partWithDifferentDigestIsRefused() {
        byte[] part = PartCodec.write(service("GET"));
        assertThrows(ConfigurationException.class, () -> PartCodec.read(PartCodec.digest(service("POST")), part));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "null",
                "[]",
                NO_FORMER_GROUPS + "\"homeGroups\":[]",
                NO_FORMER_GROUPS + "\"homeGroups\":[],\"move\":null,\"routes\":[],\"service\":\"a\",\"version\":\"1\"}",
                NO_FORMER_GROUPS
                        + "\"homeGroups\":[],\"move\":null,\"routes\":null,\"service\":\"a\",\"version\":\"1\"}",
                NO_FORMER_GROUPS
                        + "\"homeGroups\":[null],\"move\":null,\"routes\":[],\"service\":\"a\",\"version\":\"1\"}",
                CANONICAL + "{}",
                NO_FORMER_GROUPS
                        + "\"unheardOf\":1,"
                        + "\"homeGroups\":[],\"move\":null,\"routes\":[],\"service\":\"a\",\"version\":\"1\"}"
            })
    void malformedPartIsRefused(final String text) {
        byte[] part = text.getBytes(StandardCharsets.UTF_8);
        assertThrows(ConfigurationException.class, () -> PartCodec.read(PartCodec.digest(part), part));
    }

    private static ServiceConfiguration service(final String... methods) {
        Route route = new Route("all", "/", new LinkedHashSet<>(List.of(methods)), false, 9);
        return new ServiceConfiguration(
                "lot-ledger", "1", Optional.of(new Move("1", "2", 5)), List.of(route), List.of("bac-bo"));
    }
}
