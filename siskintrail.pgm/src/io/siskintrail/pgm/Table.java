package io.siskintrail.pgm;

import java.util.ArrayList;
import java.util.List;

/** Lines up columns of text. */
final class Table {
    private static final String GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    /** Starts with the heads of the columns. */
    Table(String... heads) {
        rows.add(List.of(heads));
    }

    /** Adds a row with as many cells as there are heads. */
    Table row(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(String.valueOf(cell));
        }
        rows.add(row);
        return this;
    }

    /** Prints the table. */
    void print(Output out) {
        int[] widths = new int[rows.get(0).size()];
        for (List<String> row : rows) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < widths.length; i++) {
                line.append(i == 0 ? "" : GAP);
                line.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length()));
            }
            out.line(line.toString().stripTrailing());
        }
    }
}
