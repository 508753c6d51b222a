package org.sequoiashunt.trial.execution;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Outcome;

/**
 * What ran and what callers were told in one schedule, and the contradictions found in it.
 *
 * <p>Confined to one thread.
 */
final class ModelHistory {

    private final Map<String, List<String>> runs = new HashMap<>();
    private final Set<String> ranAttempts = new HashSet<>();
    private final Set<String> notRunAttempts = new HashSet<>();
    private final Set<String> keysAsked = new HashSet<>();
    private final List<String> contradictions = new ArrayList<>();
    private int asked;
    private int notRun;
    private int notRunOfRunKeys;
    private int unknown;
    private int answered;

    void asked(final String key) {
        asked++;
        keysAsked.add(key);
    }

    void ran(final String key, final String attempt, final long nowMs) {
        runs.computeIfAbsent(key, name -> new ArrayList<>()).add(attempt + "@" + nowMs);
        ranAttempts.add(attempt);
        if (runs.get(key).size() > 1) {
            contradictions.add("doubled run of " + key + ": " + runs.get(key));
        }
        if (notRunAttempts.contains(attempt)) {
            contradictions.add("run after not-run: " + attempt);
        }
    }

    void told(final String key, final String attempt, final CallResult result) {
        if (result.outcome() == Outcome.NOT_RUN) {
            notRun++;
            notRunAttempts.add(attempt);
            if (ranAttempts.contains(attempt)) {
                contradictions.add("not-run after run: " + attempt);
            }
            if (runs.containsKey(key)) {
                notRunOfRunKeys++;
                contradictions.add("not-run of a key that ran: " + key + " " + runs.get(key));
            }
        } else if (result.outcome() == Outcome.COMPLETE) {
            answered++;
            checkAnswer(key, result);
        } else {
            unknown++;
        }
    }

    private void checkAnswer(final String key, final CallResult result) {
        String runner = new String(result.response().orElseThrow().body().bytes(), StandardCharsets.UTF_8);
        boolean own = runs.getOrDefault(key, List.of()).stream().anyMatch(run -> run.startsWith(runner + "@"));
        if (!own) {
            contradictions.add("answer of another request: " + runner + " for " + key);
        }
    }

    /**
     * Sums the history up.
     *
     * @return the report.
     */
    ScheduleReport report() {
        return new ScheduleReport(
                keysAsked.size(),
                asked,
                runs.size(),
                answered,
                notRun,
                notRunOfRunKeys,
                unknown,
                List.copyOf(contradictions));
    }
}
