package io.siskintrail.bench.policy;

import io.siskintrail.lib.Rank;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** Computes figures of a finished run over the window from {@code from} to {@code to}. */
final class Figures {
    private final World world;
    private final long from;
    private final long to;

    Figures(World world, long from, long to) {
        this.world = world;
        this.from = from;
        this.to = to;
        world.engines.values().forEach(Engine::close);
    }

    /** Returns the useful slot time of some requests as a share of all slot time. */
    double usefulShare(Predicate<Request> which) {
        return usefulMillis(which) / capacityMillis();
    }

    /** Returns the slot time that was spent twice or for nobody, as a share of all slot time. */
    double wastedShare() {
        double wasted = 0;
        for (Request r : world.requests) {
            for (Request.Span s : r.spans) {
                if (!s.useful() || r.abandoned) {
                    wasted += s.within(from, to);
                }
            }
        }
        return wasted / capacityMillis();
    }

    double capacityMillis() {
        return (double) world.shape.totalSlots() * (to - from);
    }

    double usefulMillis(Predicate<Request> which) {
        double useful = 0;
        for (Request r : world.requests) {
            if (!r.abandoned && which.test(r)) {
                for (Request.Span s : r.spans) {
                    useful += s.useful() ? s.within(from, to) : 0;
                }
            }
        }
        return useful;
    }

    /** Returns useful slot time by account. */
    Map<String, Double> service() {
        Map<String, Double> out = new TreeMap<>();
        for (Request r : world.requests) {
            String a = r.account.value();
            out.putIfAbsent(a, 0.0);
        }
        out.replaceAll((a, n) -> usefulMillis(r -> r.account.value().equals(a)));
        return out;
    }

    /** Returns slot time asked for by account, by requests that arrived in the window. */
    Map<String, Double> demand() {
        Map<String, Double> out = new TreeMap<>();
        for (Request r : world.requests) {
            if (r.arrivedAt >= from && r.arrivedAt < to) {
                double slot =
                        r.promptTokens / Engine.PREFILL_TOKENS_PER_MILLI
                                + r.outputTokens * Engine.MILLIS_PER_TOKEN;
                out.merge(r.account.value(), slot, Double::sum);
            }
        }
        return out;
    }

    /** Returns a percentile of the time to the first token, in milliseconds; NaN without one. */
    double firstToken(double share, Predicate<Request> which) {
        double[] waits =
                world.requests.stream()
                        .filter(r -> r.arrivedAt >= from && r.arrivedAt < to)
                        .filter(r -> r.firstTokenAt >= 0)
                        .filter(which)
                        .mapToDouble(r -> r.firstTokenAt - r.arrivedAt)
                        .sorted()
                        .toArray();
        if (waits.length == 0) {
            return Double.NaN;
        }
        return waits[Math.min(waits.length - 1, (int) Math.ceil(share * waits.length) - 1)];
    }

    double urgentFirstToken(double share) {
        return firstToken(share, r -> r.rank == Rank.URGENT);
    }

    /** Returns how many requests of the window got no first token until the end. */
    long unserved(Predicate<Request> which) {
        return world.requests.stream()
                .filter(r -> r.arrivedAt >= from && r.arrivedAt < to)
                .filter(r -> r.firstTokenAt < 0)
                .filter(which)
                .count();
    }

    long arrived(Predicate<Request> which) {
        return world.requests.stream()
                .filter(r -> r.arrivedAt >= from && r.arrivedAt < to)
                .filter(which)
                .count();
    }

    long suspensions() {
        return world.suspensions;
    }

    long joins() {
        return world.joins;
    }

    long refusals() {
        return world.refusals;
    }

    /** Returns the longest time for which an engine had more requests than slots. */
    long longestOverMillis() {
        return world.engines.values().stream()
                .mapToLong(e -> e.longestOver(world.now()))
                .max()
                .orElse(0);
    }

    /** Returns the max-min fair split of {@code capacity} over the demands, by weight. */
    static Map<String, Double> maxMin(
            Map<String, Double> demand, Map<String, Double> weights, double capacity) {
        Map<String, Double> open = new TreeMap<>(demand);
        Map<String, Double> out = new TreeMap<>();
        double left = capacity;
        while (!open.isEmpty()) {
            double weight = open.keySet().stream().mapToDouble(a -> weight(weights, a)).sum();
            double level = left / weight;
            String met =
                    open.keySet().stream()
                            .filter(a -> open.get(a) <= level * weight(weights, a))
                            .findFirst()
                            .orElse(null);
            if (met == null) {
                open.forEach((a, d) -> out.put(a, level * weight(weights, a)));
                break;
            }
            left -= open.get(met);
            out.put(met, open.remove(met));
        }
        return out;
    }

    static double weight(Map<String, Double> weights, String account) {
        return weights.getOrDefault(account, 1.0);
    }

    /** Returns the fairness index of Jain, Chiu and Hawe (1984). */
    static double jain(double... values) {
        double sum = Arrays.stream(values).sum();
        double squares = Arrays.stream(values).map(v -> v * v).sum();
        return squares == 0 ? 1 : sum * sum / (values.length * squares);
    }
}
