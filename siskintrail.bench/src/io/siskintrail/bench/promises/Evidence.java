package io.siskintrail.bench.promises;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Everything that a run has seen.
 *
 * @param generations the generations of all callers
 * @param orders the orders of all callers
 * @param executions how often the services executed each key
 * @param startedPrompts the first words of all prompts that engines began
 * @param leaves what leaving endpoints saw
 * @param cutByShutdown streams that a graceful shutdown cut
 * @param observations what routers said of their rules, in order of time for each router
 * @param accepted the numbers of all accepted edits
 * @param finalNumber the number of the rules at the end
 * @param salts the salts of all engines
 */
record Evidence(
        List<GenerationEvidence> generations,
        List<OrderEvidence> orders,
        Map<String, Integer> executions,
        Set<String> startedPrompts,
        List<LeaveEvidence> leaves,
        List<String> cutByShutdown,
        List<RulesObservation> observations,
        List<Long> accepted,
        long finalNumber,
        Set<String> salts) {}
