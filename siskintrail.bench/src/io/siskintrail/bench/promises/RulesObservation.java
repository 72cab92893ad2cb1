package io.siskintrail.bench.promises;

/**
 * What a router said of its rules.
 *
 * @param router the router
 * @param ready whether it took new work
 * @param number the number of its rules
 * @param required the newest number that was accepted longer ago than the bound
 */
record RulesObservation(String router, boolean ready, long number, long required) {}
