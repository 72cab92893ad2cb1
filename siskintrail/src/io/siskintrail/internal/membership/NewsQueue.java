package io.siskintrail.internal.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Entries that are to be passed on a number of times each; the least passed on go first. */
final class NewsQueue {
    private final Map<String, News> queue = new LinkedHashMap<>();

    private static final class News {
        final MemberEntry entry;
        int sent;

        News(MemberEntry entry, int sent) {
            this.entry = entry;
            this.sent = sent;
        }
    }

    /**
     * Queues {@code entry} in place of an older one of the same member.
     *
     * @param sent counts as passed on that often already
     */
    void add(MemberEntry entry, int sent) {
        queue.remove(entry.key());
        queue.put(entry.key(), new News(entry, sent));
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /**
     * Returns entries for one message.
     *
     * @param maxBytes the most that they may take together
     * @param maxSends how often each entry is passed on in all
     */
    List<MemberEntry> take(int maxBytes, int maxSends) {
        List<News> ordered = new ArrayList<>(queue.values());
        ordered.sort(Comparator.comparingInt(n -> n.sent));
        List<MemberEntry> taken = new ArrayList<>();
        int bytes = 0;
        for (News n : ordered) {
            bytes += n.entry.sizeBytes();
            if (bytes > maxBytes) {
                break;
            }
            taken.add(n.entry);
            n.sent++;
            if (n.sent >= maxSends) {
                queue.remove(n.entry.key());
            }
        }
        return taken;
    }
}
