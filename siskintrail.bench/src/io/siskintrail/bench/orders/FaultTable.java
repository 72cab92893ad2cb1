package io.siskintrail.bench.orders;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Writes the outcomes of the matrix as a Markdown table, a row for each fault. */
final class FaultTable {

    private FaultTable() {}

    static void write(Path file, List<Cell.Outcome> outcomes) throws IOException {
        StringBuilder text = new StringBuilder("| fault |");
        for (Step step : Step.values()) {
            text.append(' ').append(step).append(" |");
        }
        text.append("\n|").append("---|".repeat(Step.values().length + 1)).append('\n');
        for (Fault fault : Fault.values()) {
            text.append("| ").append(fault).append(" |");
            for (Step step : Step.values()) {
                text.append(' ').append(cell(outcomes, fault, step)).append(" |");
            }
            text.append('\n');
        }
        Files.writeString(file, text);
    }

    private static String cell(List<Cell.Outcome> outcomes, Fault fault, Step step) {
        return outcomes.stream()
                .filter(o -> o.fault() == fault && o.step() == step)
                .map(FaultTable::describe)
                .findFirst()
                .orElse("-");
    }

    private static String describe(Cell.Outcome o) {
        String end = o.told().contains(0) ? "answer" : "unknown";
        return "%s%d run, %s".formatted(o.isSafe() ? "" : "WRONG ", o.runs(), end);
    }
}
