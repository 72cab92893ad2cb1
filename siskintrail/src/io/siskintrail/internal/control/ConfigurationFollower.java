package io.siskintrail.internal.control;

import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.lib.StateMachine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Keeps the configuration of one host and knows until when it is certainly current.
 *
 * <p>A host may take new work for a short time after a question that was answered either by the
 * leader of the control replicas or by a majority of all hosts, if it has the newest version named
 * in the answers. The time counts from the question, not from the answer. An accepted version was
 * on a majority of all hosts before, and two majorities share a host, so neither way can miss it. A
 * host that started again has forgotten what it had and counts in no majority until the leader has
 * answered it.
 *
 * <p>Versions only grow during the life of this object.
 */
public class ConfigurationFollower implements StateMachine<FollowerInput, FollowerEffect> {
    private static final long NEVER = Long.MIN_VALUE / 4;

    private final FollowerSettings settings;
    private final Map<Long, Long> askedAt = new HashMap<>();
    private final Map<HostId, Long> peerVersions = new HashMap<>();
    private Configuration applied = Configuration.EMPTY;
    private boolean counted;
    private long nonce;
    private long confirmedAt = NEVER;
    private long leaderHeardAt = NEVER;
    private long nextAskAt = NEVER;
    private long nextRoundAt = NEVER;
    private long roundNonce;
    private long roundAt = NEVER;
    private HostId leader;

    /** Starts with nothing. */
    public ConfigurationFollower(FollowerSettings settings) {
        this.settings = settings;
        this.nonce = settings.firstNonce();
    }

    @Override
    public List<FollowerEffect> step(long nowMillis, FollowerInput input) {
        List<FollowerEffect> effects = new ArrayList<>();
        if (input instanceof FollowerInput.Tick) {
            tick(nowMillis, effects);
        } else if (input instanceof FollowerInput.LeaderAnswer answer) {
            takeLeaderAnswer(nowMillis, answer, effects);
        } else if (input instanceof FollowerInput.Pushed pushed) {
            leader = pushed.from();
            leaderHeardAt = nowMillis;
            takeNewer(nowMillis, pushed.configuration(), effects);
        } else if (input instanceof FollowerInput.PeerQuestion question) {
            answerPeer(question, effects);
        } else if (input instanceof FollowerInput.PeerAnswer answer) {
            takePeerAnswer(nowMillis, answer, effects);
        }
        return effects;
    }

    private void tick(long now, List<FollowerEffect> effects) {
        askedAt.values().removeIf(at -> now - at > settings.validMillis());
        if (now >= nextAskAt) {
            askControl(now, effects);
        }
        boolean leaderSilent = now - confirmedAt >= settings.fallbackMillis();
        if (leaderSilent && counted && now >= nextRoundAt) {
            startRound(now, effects);
        }
    }

    private void askControl(long now, List<FollowerEffect> effects) {
        nextAskAt = now + settings.askMillis();
        nonce++;
        askedAt.put(nonce, now);
        for (HostId host : askedControls(now)) {
            effects.add(new FollowerEffect.AskControl(host, nonce, applied.version()));
        }
    }

    private Set<HostId> askedControls(long now) {
        if (leader != null && now - leaderHeardAt < settings.fallbackMillis()) {
            return Set.of(leader);
        }
        Set<HostId> all = new LinkedHashSet<>(settings.controlHosts());
        if (leader != null) {
            all.add(leader);
        }
        return all;
    }

    private void startRound(long now, List<FollowerEffect> effects) {
        nextRoundAt = now + settings.askMillis();
        nonce++;
        roundNonce = nonce;
        roundAt = now;
        peerVersions.clear();
        for (HostInfo host : applied.hosts()) {
            if (!host.id().equals(settings.self())) {
                effects.add(new FollowerEffect.AskPeer(host.id(), roundNonce, applied.version()));
            }
        }
        finishRound(effects);
    }

    private void takeLeaderAnswer(
            long now, FollowerInput.LeaderAnswer answer, List<FollowerEffect> effects) {
        if (answer.configuration() != null) {
            takeNewer(now, answer.configuration(), effects);
        }
        Long at = askedAt.get(answer.nonce());
        if (at == null || applied.version() < answer.version()) {
            return;
        }
        leader = answer.from();
        leaderHeardAt = now;
        counted = true;
        confirm(confirmationTime(at, now), effects);
    }

    private void takePeerAnswer(
            long now, FollowerInput.PeerAnswer answer, List<FollowerEffect> effects) {
        if (answer.configuration() != null) {
            takeNewer(now, answer.configuration(), effects);
        }
        if (answer.nonce() != roundNonce || !counts(answer)) {
            return;
        }
        peerVersions.put(answer.from(), answer.version());
        finishRound(effects);
    }

    private void finishRound(List<FollowerEffect> effects) {
        int votes = 0;
        long newest = 0;
        for (HostInfo host : applied.hosts()) {
            boolean isSelf = host.id().equals(settings.self());
            Long version = isSelf ? Long.valueOf(applied.version()) : peerVersions.get(host.id());
            if (version != null) {
                votes++;
                newest = Math.max(newest, version);
            }
        }
        if (votes >= quorum(applied.hosts().size()) && applied.version() >= newest) {
            confirm(roundAt, effects);
        }
    }

    private void answerPeer(FollowerInput.PeerQuestion question, List<FollowerEffect> effects) {
        Configuration news = applied.version() > question.version() ? applied : null;
        effects.add(
                new FollowerEffect.AnswerPeer(
                        question.from(), question.nonce(), counted, applied.version(), news));
    }

    private void takeNewer(long now, Configuration offered, List<FollowerEffect> effects) {
        if (!replaces(offered)) {
            return;
        }
        applied = offered;
        effects.add(new FollowerEffect.Apply(applied));
        effects.add(permit());
        askControl(now, effects);
    }

    private void confirm(long at, List<FollowerEffect> effects) {
        if (at <= confirmedAt) {
            return;
        }
        confirmedAt = at;
        effects.add(permit());
    }

    private FollowerEffect.Permit permit() {
        boolean admitted = counted && applied.admits(settings.self());
        return new FollowerEffect.Permit(admitted ? confirmedAt + settings.validMillis() : NEVER);
    }

    /** Returns whether an offered configuration takes the place of the applied one. */
    boolean replaces(Configuration offered) {
        return offered.version() > applied.version();
    }

    /** Returns the moment that an answer of the leader vouches for. */
    long confirmationTime(long askedMillis, long answeredMillis) {
        return askedMillis;
    }

    /** Returns whether an answer of another host counts towards a majority. */
    boolean counts(FollowerInput.PeerAnswer answer) {
        return answer.counted();
    }

    /** Returns how many of {@code hosts} are a majority. */
    int quorum(int hosts) {
        return hosts / 2 + 1;
    }

    /** Returns the configuration in force on this host. */
    public Configuration applied() {
        return applied;
    }

    /** Returns whether the host has caught up since it started. */
    public boolean counted() {
        return counted;
    }

    /** Returns whether the host may take new work. */
    public boolean mayTakeWork(long nowMillis) {
        return counted
                && applied.admits(settings.self())
                && nowMillis - confirmedAt < settings.validMillis();
    }
}
