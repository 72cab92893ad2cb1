package io.siskintrail.bench.orders;

import io.siskintrail.bench.Experiment;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Runs every fault at every step of an order, each in a deployment of its own with two routers, two
 * endpoints and three control replicas over sockets and files, and prints the table. Arguments:
 * {@code [--short true] [--parallel N] [--table FILE]}; the file gets the table in Markdown.
 */
public final class LedgerFaultsExperiment implements Experiment {
    private static final Map<Fault, List<Step>> SHORT =
            Map.of(
                    Fault.ROUTER_KILLED,
                    List.of(Step.CLAIM_COMMITTED, Step.DISPATCH_COMMITTED, Step.CALL_EXECUTED),
                    Fault.MESSAGE_LOST,
                    List.of(Step.CALL_ARRIVED, Step.CALL_EXECUTED),
                    Fault.LEADER_KILLED,
                    List.of(Step.DISPATCH_COMMITTED, Step.ANSWER_PROPOSED),
                    Fault.CONTROL_LOST,
                    List.of(Step.DISPATCH_PROPOSED));

    private int parallel = 4;
    private boolean isShort;
    private Path table;

    /** Prepares the whole matrix. */
    public LedgerFaultsExperiment() {}

    @Override
    public int run(String[] args) throws Exception {
        for (int i = 0; i + 1 < args.length; i += 2) {
            switch (args[i]) {
                case "--short" -> isShort = Boolean.parseBoolean(args[i + 1]);
                case "--parallel" -> parallel = Integer.parseInt(args[i + 1]);
                case "--table" -> table = Path.of(args[i + 1]);
                default -> throw new IllegalArgumentException("unknown argument " + args[i]);
            }
        }
        List<Cell.Outcome> outcomes = outcomes();
        outcomes.forEach(LedgerFaultsExperiment::print);
        if (table != null) {
            FaultTable.write(table, outcomes);
        }
        long doubles = outcomes.stream().filter(o -> o.runs() > 1).count();
        long falseNotRun = outcomes.stream().mapToLong(Cell.Outcome::falseNotRun).sum();
        long differing = outcomes.stream().mapToLong(Cell.Outcome::differing).sum();
        long notEnded = outcomes.stream().filter(o -> !o.ended()).count();
        long notReached = outcomes.stream().filter(o -> !o.reached()).count();
        System.out.printf(
                Locale.ROOT,
                "cells=%d double_dispatches=%d false_not_run=%d differing_answers=%d not_ended=%d"
                        + " not_reached=%d%n",
                outcomes.size(),
                doubles,
                falseNotRun,
                differing,
                notEnded,
                notReached);
        return doubles + falseNotRun + differing + notEnded + notReached == 0 ? 0 : 1;
    }

    private List<Cell.Outcome> outcomes() throws Exception {
        ExecutorService executor = Executors.newFixedThreadPool(parallel);
        try {
            List<Future<Cell.Outcome>> futures = new ArrayList<>();
            for (Fault fault : Fault.values()) {
                for (Step step : Step.values()) {
                    boolean chosen =
                            !isShort || SHORT.getOrDefault(fault, List.of()).contains(step);
                    if (chosen && fault.appliesTo(step)) {
                        futures.add(executor.submit(() -> cell(step, fault)));
                    }
                }
            }
            List<Cell.Outcome> outcomes = new ArrayList<>();
            for (Future<Cell.Outcome> future : futures) {
                outcomes.add(future.get());
            }
            return outcomes;
        } finally {
            executor.shutdownNow();
        }
    }

    private static Cell.Outcome cell(Step step, Fault fault) throws Exception {
        try (Deployment deployment = new Deployment(new FileLog())) {
            return new Cell(step, fault, deployment).run();
        }
    }

    private static void print(Cell.Outcome o) {
        System.out.printf(
                Locale.ROOT,
                "fault=%s step=%s reached=%b runs=%d false_not_run=%d differing=%d ended=%b"
                        + " told=%s%n",
                o.fault(),
                o.step(),
                o.reached(),
                o.runs(),
                o.falseNotRun(),
                o.differing(),
                o.ended(),
                o.told().toString().replace(" ", ""));
    }
}
