package io.siskintrail.internal.control;

import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.lib.StateMachine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tells hosts which configuration is the newest committed one, and finds out when a majority of all
 * hosts has it. Runs beside every control replica and speaks only while the replica holds the lease
 * of the leader.
 */
public class ConfigurationPublisher implements StateMachine<PublisherInput, PublisherEffect> {
    private static final long MARK_RETRY_MILLIS = 500;
    private static final long NOT_LEADING = Long.MIN_VALUE / 4;

    private final Map<HostId, Long> acknowledged = new HashMap<>();
    private ConfigurationImage image = new ConfigurationState().image();
    private long leaseUntil = NOT_LEADING;
    private long proposedMark;
    private long proposedAt = NOT_LEADING;

    @Override
    public List<PublisherEffect> step(long nowMillis, PublisherInput input) {
        List<PublisherEffect> effects = new ArrayList<>();
        if (input instanceof PublisherInput.Leading leading) {
            lead(nowMillis, leading.leaseUntilMillis(), effects);
        } else if (input instanceof PublisherInput.NotLeading) {
            leaseUntil = NOT_LEADING;
        } else if (input instanceof PublisherInput.Committed committed) {
            takeCommitted(nowMillis, committed.image(), effects);
        } else if (input instanceof PublisherInput.Question question) {
            answer(nowMillis, question, effects);
        }
        propose(nowMillis, effects);
        return effects;
    }

    private void lead(long now, long until, List<PublisherEffect> effects) {
        boolean held = holdsLease(now);
        leaseUntil = until;
        if (!held && holdsLease(now)) {
            acknowledged.clear();
            proposedMark = 0;
            push(effects);
        }
    }

    private void takeCommitted(long now, ConfigurationImage next, List<PublisherEffect> effects) {
        boolean newer = next.current().version() > image.current().version();
        image = next;
        if (newer && holdsLease(now)) {
            push(effects);
        }
    }

    private void push(List<PublisherEffect> effects) {
        for (HostInfo host : image.current().hosts()) {
            effects.add(new PublisherEffect.Push(host.id(), image.current()));
        }
    }

    private void answer(long now, PublisherInput.Question question, List<PublisherEffect> effects) {
        if (!holdsLease(now)) {
            return;
        }
        acknowledged.merge(question.from(), question.version(), Math::max);
        Configuration current = image.current();
        boolean behind = current.version() > question.version();
        effects.add(
                new PublisherEffect.Answer(
                        question.from(),
                        question.nonce(),
                        current.version(),
                        behind ? current : null));
    }

    private void propose(long now, List<PublisherEffect> effects) {
        if (!holdsLease(now)) {
            return;
        }
        long version = onMajority();
        if (version <= image.inForceVersion()) {
            return;
        }
        if (version > proposedMark || now - proposedAt >= MARK_RETRY_MILLIS) {
            proposedMark = version;
            proposedAt = now;
            effects.add(new PublisherEffect.ProposeMark(version));
        }
    }

    /**
     * Returns the newest version that a majority of the hosts has, and of the hosts before as long
     * as the change between them is not in force.
     */
    long onMajority() {
        long now = onMajorityOf(image.current().hosts());
        boolean changing = image.hostsVersion() > image.inForceVersion();
        if (!changing || image.previousHosts().isEmpty()) {
            return now;
        }
        return Math.min(now, onMajorityOf(image.previousHosts()));
    }

    private long onMajorityOf(List<HostInfo> hosts) {
        if (hosts.isEmpty()) {
            return image.current().version();
        }
        long[] versions =
                hosts.stream()
                        .mapToLong(h -> acknowledged.getOrDefault(h.id(), 0L))
                        .sorted()
                        .toArray();
        int majority = versions.length / 2 + 1;
        return Math.min(versions[versions.length - majority], image.current().version());
    }

    /** Returns whether no other replica can lead at this moment. */
    boolean holdsLease(long nowMillis) {
        return nowMillis < leaseUntil;
    }

    /** Returns what each host is known to have since this replica leads. */
    public Map<HostId, Long> acknowledged() {
        return Map.copyOf(acknowledged);
    }
}
