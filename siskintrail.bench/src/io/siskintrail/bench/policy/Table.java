package io.siskintrail.bench.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Collects the figures of a scenario, one row a run, and the targets that were missed. */
public final class Table {
    private final String scenario;
    private final List<Map<String, String>> rows = new ArrayList<>();
    private final List<String> missed = new ArrayList<>();

    Table(String scenario) {
        this.scenario = scenario;
    }

    /** Starts the row of one run. */
    Table row(Strategy strategy, String variant) {
        Map<String, String> row = new LinkedHashMap<>();
        row.put("scenario", scenario);
        row.put("strategy", strategy.name().toLowerCase(Locale.ROOT));
        row.put("variant", variant);
        rows.add(row);
        return this;
    }

    Table put(String name, double value) {
        String text =
                value == Math.rint(value) && Math.abs(value) < 1e12
                        ? String.valueOf((long) value)
                        : String.format(Locale.ROOT, "%.4f", value);
        rows.get(rows.size() - 1).put(name, text);
        return this;
    }

    /** Notes a target of the row started last. */
    void target(String what, double value, boolean met) {
        if (!met) {
            Map<String, String> row = rows.get(rows.size() - 1);
            missed.add(
                    String.format(
                            Locale.ROOT,
                            "scenario=%s variant=%s target=\"%s\" seen=%.4f",
                            scenario,
                            row.get("variant"),
                            what,
                            value));
        }
    }

    /** Returns the targets that our strategy missed, one a line. */
    public List<String> missed() {
        return List.copyOf(missed);
    }

    /** Returns the rows as lines of key=value pairs. */
    public List<String> keyValues() {
        List<String> lines = new ArrayList<>();
        for (Map<String, String> row : rows) {
            List<String> pairs = new ArrayList<>();
            row.forEach((k, v) -> pairs.add(k + "=" + v));
            lines.add(String.join(" ", pairs));
        }
        return lines;
    }

    /** Returns the rows as CSV with a header line; a figure that a row lacks is empty. */
    public List<String> csv() {
        Map<String, Boolean> names = new LinkedHashMap<>();
        rows.forEach(r -> r.keySet().forEach(k -> names.put(k, true)));
        List<String> lines = new ArrayList<>();
        lines.add(String.join(",", names.keySet()));
        for (Map<String, String> row : rows) {
            List<String> cells = new ArrayList<>();
            names.keySet().forEach(k -> cells.add(row.getOrDefault(k, "")));
            lines.add(String.join(",", cells));
        }
        return lines;
    }
}
