package org.sequoiashunt.trial.execution;

import java.util.List;

/**
 * Outcome of one schedule of the claim model. Immutable and thread-safe.
 *
 * @param keys keys sent.
 * @param requests requests sent, resends included.
 * @param keysRun keys that ran.
 * @param answered requests that got an answer.
 * @param notRun requests refused as not run.
 * @param notRunOfRunKeys those among them whose key had run in an earlier attempt.
 * @param unknown requests whose caller was told that the outcome is unknown.
 * @param contradictions doubled runs and untrue answers.
 */
public record ScheduleReport(
        int keys,
        int requests,
        int keysRun,
        int answered,
        int notRun,
        int notRunOfRunKeys,
        int unknown,
        List<String> contradictions) {}
