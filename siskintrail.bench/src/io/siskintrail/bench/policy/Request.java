package io.siskintrail.bench.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.Rank;
import java.util.ArrayList;
import java.util.List;

/** What a caller wants, over all of its sends and all attempts. */
final class Request {
    final long id;
    final long group;
    final AccountId account;
    final Rank rank;
    final int promptTokens;
    final int outputTokens;
    final long[] prefix;
    final long arrivedAt;
    long firstTokenAt = -1;
    long doneAt = -1;
    boolean abandoned;
    boolean refused;
    boolean poisonous;
    int sends;
    int delivered;
    final List<Span> spans = new ArrayList<>();

    Request(
            long id,
            long group,
            AccountId account,
            Rank rank,
            int promptTokens,
            int outputTokens,
            long[] prefix,
            long arrivedAt) {
        this.id = id;
        this.group = group;
        this.account = account;
        this.rank = rank;
        this.promptTokens = promptTokens;
        this.outputTokens = outputTokens;
        this.prefix = prefix;
        this.arrivedAt = arrivedAt;
    }

    /**
     * A time during which the request held a slot.
     *
     * @param from its start
     * @param to its end
     * @param useful whether the work was not done before
     */
    record Span(long from, long to, boolean useful) {
        long within(long start, long end) {
            return Math.max(0, Math.min(to, end) - Math.max(from, start));
        }
    }
}
