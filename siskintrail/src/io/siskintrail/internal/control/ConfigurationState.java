package io.siskintrail.internal.control;

import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.internal.replicated.ReplicatedState;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;

/**
 * The rules, the hosts and the history of edits as the control log makes them.
 *
 * <p>An edit names the number that it was made from. From the newest number it becomes the next
 * one. From an older number it gets the earlier answer again when it has the content of the edit
 * that won there, so that a lost answer can be asked for again, and is refused otherwise.
 */
public class ConfigurationState
        implements ReplicatedState<ConfigurationCommand, ConfigurationAnswer, ConfigurationImage> {
    /** Edits that the history keeps. */
    public static final int HISTORY_LENGTH = 1_000;

    private static final int MAX_CHANGED_LINES = 100;

    private final Deque<RulesEdit> history = new ArrayDeque<>();
    private Configuration current = Configuration.EMPTY;
    private List<HostInfo> previousHosts = List.of();
    private long hostsVersion;
    private long inForceVersion;

    @Override
    public ConfigurationAnswer apply(
            LogPosition position, long atMillis, ConfigurationCommand command) {
        if (command instanceof ConfigurationCommand.ApplyRules c) {
            return applyRules(atMillis, c);
        }
        if (command instanceof ConfigurationCommand.MarkInForce c) {
            inForceVersion = Math.max(inForceVersion, Math.min(c.version(), current.version()));
            return new ConfigurationAnswer.Marked(inForceVersion);
        }
        if (command instanceof ConfigurationCommand.SeedHosts c) {
            return current.hosts().isEmpty()
                    ? changeHosts(c.hosts())
                    : new ConfigurationAnswer.HostsRefused();
        }
        if (command instanceof ConfigurationCommand.PutHost c) {
            return putHost(c.host());
        }
        if (command instanceof ConfigurationCommand.SetDraining c) {
            return setDraining(c);
        }
        return removeHost(((ConfigurationCommand.RemoveHost) command).host());
    }

    private ConfigurationAnswer applyRules(long atMillis, ConfigurationCommand.ApplyRules c) {
        if (c.baseNumber() < 0 || c.baseNumber() > current.rulesNumber()) {
            return new ConfigurationAnswer.NumberUnknown(current.rulesNumber());
        }
        if (c.baseNumber() < current.rulesNumber()) {
            return answerOldNumber(c);
        }
        LineChange change = LineChange.between(current.rulesText(), c.text());
        current = current.withRules(c.text(), c.operator(), atMillis);
        history.addLast(
                new RulesEdit(
                        current.rulesNumber(),
                        current.version(),
                        c.operator(),
                        atMillis,
                        LineChange.digest(c.text()),
                        first(change.added()),
                        first(change.removed()),
                        Math.max(change.added().size(), change.removed().size())
                                > MAX_CHANGED_LINES));
        if (history.size() > HISTORY_LENGTH) {
            history.removeFirst();
        }
        return new ConfigurationAnswer.RulesApplied(current.rulesNumber(), current.version());
    }

    private static List<String> first(List<String> lines) {
        return lines.subList(0, Math.min(lines.size(), MAX_CHANGED_LINES));
    }

    /** Answers an edit made from a number that another edit, or this one, was applied to. */
    ConfigurationAnswer answerOldNumber(ConfigurationCommand.ApplyRules c) {
        RulesEdit winner = edit(c.baseNumber() + 1);
        if (winner != null && winner.digest().equals(LineChange.digest(c.text()))) {
            return new ConfigurationAnswer.RulesApplied(winner.number(), winner.version());
        }
        return new ConfigurationAnswer.NumberTaken(winner, current.rulesNumber());
    }

    private ConfigurationAnswer putHost(HostInfo host) {
        if (current.hosts().contains(host)) {
            return new ConfigurationAnswer.HostsChanged(hostsVersion);
        }
        List<HostInfo> next = new ArrayList<>(current.hosts());
        next.removeIf(h -> h.id().equals(host.id()));
        next.add(host);
        return changeHosts(next);
    }

    private ConfigurationAnswer setDraining(ConfigurationCommand.SetDraining c) {
        if (!current.has(c.host())) {
            return new ConfigurationAnswer.HostsRefused();
        }
        if (current.draining().contains(c.host()) != c.draining()) {
            List<HostId> next = new ArrayList<>(current.draining());
            next.remove(c.host());
            if (c.draining()) {
                next.add(c.host());
            }
            next.sort(null);
            current = current.withHosts(current.hosts(), next);
        }
        return new ConfigurationAnswer.HostsChanged(current.version());
    }

    private ConfigurationAnswer removeHost(HostId host) {
        if (!current.has(host)) {
            return new ConfigurationAnswer.HostsChanged(hostsVersion);
        }
        List<HostInfo> next = new ArrayList<>(current.hosts());
        next.removeIf(h -> h.id().equals(host));
        return next.isEmpty() ? new ConfigurationAnswer.HostsRefused() : changeHosts(next);
    }

    /**
     * Changes the hosts when the change before is in force. One change at a time keeps every
     * majority of the old hosts and every majority of the new ones sharing a host.
     */
    private ConfigurationAnswer changeHosts(List<HostInfo> next) {
        if (hostsVersion > inForceVersion) {
            return new ConfigurationAnswer.HostsPending(hostsVersion);
        }
        previousHosts = current.hosts();
        List<HostInfo> sorted = next.stream().sorted(Comparator.comparing(HostInfo::id)).toList();
        List<HostId> draining =
                current.draining().stream()
                        .filter(id -> next.stream().anyMatch(h -> h.id().equals(id)))
                        .toList();
        current = current.withHosts(sorted, draining);
        hostsVersion = current.version();
        return new ConfigurationAnswer.HostsChanged(hostsVersion);
    }

    /** Returns the newest committed configuration. */
    public Configuration current() {
        return current;
    }

    /** Returns the newest version that a majority of all hosts is known to have. */
    public long inForceVersion() {
        return inForceVersion;
    }

    /** Returns the kept edits, oldest first. */
    public List<RulesEdit> history() {
        return List.copyOf(history);
    }

    /** Returns the edit that made rules {@code number}, or null when it is not kept. */
    public RulesEdit edit(long number) {
        return history.stream().filter(e -> e.number() == number).findFirst().orElse(null);
    }

    @Override
    public ConfigurationImage image() {
        return new ConfigurationImage(
                current, previousHosts, hostsVersion, inForceVersion, List.copyOf(history));
    }

    @Override
    public void restore(ConfigurationImage image) {
        current = image.current();
        previousHosts = image.previousHosts();
        hostsVersion = image.hostsVersion();
        inForceVersion = image.inForceVersion();
        history.clear();
        history.addAll(image.history());
    }
}
