package org.sequoiashunt.trial.demonstration;

import java.time.Instant;
import java.util.Objects;

/**
 * Manifest of the demonstration in its steps. Immutable and thread-safe.
 *
 * @param version the version that has the traffic.
 * @param move the version to move to, or empty for no move.
 * @param finishBy when the move must be finished.
 */
record DemonstrationManifest(String version, String move, Instant finishBy) {

    DemonstrationManifest {
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(move, "move");
        Objects.requireNonNull(finishBy, "finishBy");
    }

    String toYaml() {
        String moveBlock = move.isEmpty() ? "" : """
                    move:
                      to: "%s"
                      finishBy: %s
                """.formatted(move, finishBy);
        return """
                groups:
                  bac-bo: [ha-noi-a, hai-phong-b]
                  nam-bo: [sai-gon-a, can-tho-b]
                services:
                  registry-desk:
                    version: "%s"
                %s    homeGroups: [bac-bo, nam-bo]
                    routes:
                      - name: lookup
                        path: /lookup
                        methods: [GET]
                        idempotent: true
                        timeout: 2000
                      - name: reserve
                        path: /reserve
                        methods: [POST]
                        idempotent: false
                        timeout: 2000
                """.formatted(version, moveBlock);
    }
}
