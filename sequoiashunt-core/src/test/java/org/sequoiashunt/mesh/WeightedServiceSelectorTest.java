package org.sequoiashunt.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class WeightedServiceSelectorTest {

    @Test
    void choicesMatchWeightsOverShortSpans() {
        MeshRoute route = new MeshRoute(
                "r",
                "h",
                "/",
                List.of(new WeightedService("a", 90), new WeightedService("b", 10), new WeightedService("c", 0)),
                RequestKind.IDEMPOTENT,
                1,
                1,
                0,
                1,
                false,
                Set.of());
        WeightedServiceSelector selector = new WeightedServiceSelector(new Random(7));
        Map<String, Integer> counts = new HashMap<>();
        for (int request = 0; request < 50; request++) {
            counts.merge(selector.choose(route), 1, Integer::sum);
        }
        assertEquals(Map.of("a", 45, "b", 5), counts);
    }
}
