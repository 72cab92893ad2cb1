package io.siskintrail.internal.membership;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.StateMachine;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * The membership of one host: what it holds of all hosts and endpoints, what it passes on, and
 * which endpoints it may give new work.
 */
public class Membership implements StateMachine<MembershipInput, MembershipEffect> {
    /** How often {@link MembershipInput.Tick} is due. */
    public static final long TICK_MILLIS = 50;

    /** How old the evidence of an endpoint that gets new work may be. */
    public static final long EVIDENCE_MILLIS = 2_500;

    private static final long GOSSIP_MILLIS = 200;
    private static final int GOSSIP_PEERS = 2;
    private static final long SYNC_MILLIS = 5_000;
    private static final long SYNC_AGAIN_MILLIS = 200;
    private static final long REFRESH_MILLIS = 800;
    private static final int MAX_REFRESHED_HOMES = 12;
    private static final long STALE_MILLIS = 1_700;
    private static final long CHECK_AGAIN_MILLIS = 1_000;
    private static final long TAKEOVER_MILLIS = 3_000;
    private static final long PULL_MILLIS = 2_000;
    private static final long GONE_MILLIS = 10_000;
    private static final long DEAD_HOME_MILLIS = 20_000;
    private static final long RETIRE_MILLIS = 60_000;
    private static final long FORGET_MILLIS = 3_600_000;
    private static final long HOUSEKEEPING_MILLIS = 1_000;
    private static final long SETTLING_IN_MILLIS = 10_000;
    private static final int GOSSIP_BYTES = 1_100;
    private static final int SYNC_BYTES = 8_000;
    private static final int SENDS_PER_DOUBLING = 2;
    private static final int SYNC_NEWS_SENDS = 2;

    private final HostId self;
    private final Random random;
    private final MemberTable table = new MemberTable();
    private final NewsQueue news = new NewsQueue();
    private final EvidenceBook evidence = new EvidenceBook();
    private final Confirmations confirmations = new Confirmations();
    private final FailureDetector detector;
    private final Map<Long, Long> pulls = new java.util.TreeMap<>();
    private final Map<Long, Asked> checks = new java.util.TreeMap<>();
    private final Map<EndpointId, Long> checkedAt = new java.util.HashMap<>();
    private final Map<EndpointId, Long> orphanSince = new java.util.HashMap<>();
    private final Map<HostId, Long> usedHomes = new java.util.LinkedHashMap<>(16, 0.75f, true);
    private Set<HostId> others = new TreeSet<>();
    private List<HostId> otherList = List.of();
    private HostId syncAgainWith;
    private List<MembershipEffect> effects;
    private long now;
    private long startedAt = Long.MIN_VALUE;
    private long numbers;
    private long nextGossip;
    private long nextSync;
    private long nextRefresh;
    private long nextHousekeeping;

    private record Asked(EndpointId endpoint, long sentMillis) {}

    /**
     * Makes a membership that knows only itself.
     *
     * @param self this host
     * @param incarnation larger at every start of this host
     * @param seed seed of all random choices
     */
    public Membership(HostId self, long incarnation, long seed) {
        this.self = self;
        this.random = new Random(seed);
        this.detector = new FailureDetector(new DetectorContext(), random);
        this.table.put(new HostEntry(self, incarnation, HostState.ALIVE));
    }

    @Override
    public final List<MembershipEffect> step(long nowMillis, MembershipInput input) {
        now = nowMillis;
        effects = new ArrayList<>();
        if (startedAt == Long.MIN_VALUE) {
            startedAt = now;
            nextSync = now;
        }
        if (input instanceof MembershipInput.Received r) {
            received(r.from(), r.message());
        } else if (input instanceof MembershipInput.Announced a) {
            announced(a.info(), a.stampMillis());
        } else if (input instanceof MembershipInput.Confirm c) {
            confirm(c);
        } else if (input instanceof MembershipInput.Checked c) {
            checked(c);
        } else if (input instanceof MembershipInput.HostsChanged h) {
            hostsChanged(h.hosts());
        } else {
            tick();
        }
        return effects;
    }

    /** Returns whether new work may go to an endpoint at {@code nowMillis}. */
    public final boolean isUsable(EndpointId id, long nowMillis) {
        EndpointEntry e = table.endpoint(id);
        return e != null && e.isAlive() && evidenceAge(e, nowMillis) < EVIDENCE_MILLIS;
    }

    /** Returns the endpoints that new work may go to at {@code nowMillis}. */
    public final List<UsableEndpoint> usable(long nowMillis) {
        List<UsableEndpoint> usable = new ArrayList<>();
        for (EndpointEntry e : table.endpoints().values()) {
            long age = e.isAlive() ? evidenceAge(e, nowMillis) : Long.MAX_VALUE;
            if (age < EVIDENCE_MILLIS) {
                usable.add(new UsableEndpoint(e.info(), nowMillis + EVIDENCE_MILLIS - age));
            }
        }
        return usable;
    }

    /** Returns every endpoint that is known and neither leaves nor is gone. */
    public final List<EndpointInfo> aliveEndpoints() {
        return table.endpoints().values().stream()
                .filter(EndpointEntry::isAlive)
                .map(EndpointEntry::info)
                .toList();
    }

    /** Returns all entries of endpoints, also of those that left. */
    public final List<EndpointEntry> endpoints() {
        return List.copyOf(table.endpoints().values());
    }

    /** Returns the state of every known host, this one included. */
    public final List<HostEntry> hosts() {
        return List.copyOf(table.hosts().values());
    }

    /** Returns whether {@code next} replaces {@code held}; overridden only by faulty variants. */
    boolean supersedes(EndpointEntry next, EndpointEntry held) {
        return next.supersedes(held);
    }

    /** Returns since when a renewal proves anything; overridden only by faulty variants. */
    long renewalTime(long stampMillis, long nowMillis) {
        return stampMillis;
    }

    /** Returns when a pulled renewal took place at the latest; overridden by faulty variants. */
    long evidenceTime(long pulledAtMillis, long nowMillis, long ageMillis) {
        return pulledAtMillis - ageMillis;
    }

    private long evidenceAge(EndpointEntry e, long nowMillis) {
        long at = evidence.lastSeen(e.info().id(), e.info().incarnation());
        return at == Long.MIN_VALUE ? Long.MAX_VALUE : nowMillis - at;
    }

    private void announced(EndpointInfo info, long stampMillis) {
        EndpointEntry held = table.endpoint(info.id());
        long term = held == null ? 1 : held.term() + 1;
        EndpointEntry next = new EndpointEntry(info, self, term, false);
        if (info.leaving()) {
            adopt(next, 0);
            return;
        }
        if (held != null && isOutdated(info, held.info())) {
            return;
        }
        if (stampMillis != MembershipInput.Announced.NO_STAMP) {
            evidence.renewed(info.id(), info.incarnation(), renewalTime(stampMillis, now));
        }
        if (held == null
                || !held.info().equals(info)
                || held.gone()
                || takesOver(held, stampMillis)) {
            adopt(next, 0);
        }
        if (stampMillis == MembershipInput.Announced.NO_STAMP) {
            check(info.id());
        }
    }

    private static boolean isOutdated(EndpointInfo info, EndpointInfo held) {
        return info.incarnation() < held.incarnation()
                || (info.incarnation() == held.incarnation() && held.leaving());
    }

    /** Returns whether an endpoint that echoes a recent stamp of this router moves its home. */
    private boolean takesOver(EndpointEntry held, long stampMillis) {
        boolean recent = stampMillis > now - TAKEOVER_MILLIS;
        return recent && !held.home().equals(self);
    }

    private void received(HostId from, MembershipMessage message) {
        if (!others.contains(from)) {
            return;
        }
        if (message instanceof MembershipMessage.Ping m) {
            mergeAll(m.entries(), 0);
            ack(from, m.number());
        } else if (message instanceof MembershipMessage.Ack m) {
            mergeAll(m.entries(), 0);
            detector.answered(m.number(), relay -> ack(relay.getKey(), relay.getValue()));
        } else if (message instanceof MembershipMessage.PingRequest m) {
            detector.relay(from, m.number(), m.target());
        } else if (message instanceof MembershipMessage.Gossip m) {
            mergeAll(m.entries(), 0);
        } else if (message instanceof MembershipMessage.Pull m) {
            send(
                    from,
                    new MembershipMessage.Renewals(
                            m.number(), evidence.report(now, EVIDENCE_MILLIS)));
        } else if (message instanceof MembershipMessage.Renewals m) {
            pulled(m);
        } else if (message instanceof MembershipMessage.Digest m) {
            compare(from, m.buckets());
        } else if (message instanceof MembershipMessage.Buckets m) {
            mergeBuckets(from, m);
        }
    }

    private void ack(HostId to, long number) {
        List<MemberEntry> entries = new ArrayList<>();
        HostEntry about = table.host(to);
        if (about != null && about.state() != HostState.ALIVE) {
            entries.add(about);
        }
        entries.addAll(takeNews());
        send(to, new MembershipMessage.Ack(number, entries));
    }

    private void pulled(MembershipMessage.Renewals m) {
        Long pulledAt = pulls.remove(m.number());
        if (pulledAt == null) {
            return;
        }
        for (Renewal r : m.renewals()) {
            evidence.seen(
                    r.endpoint(), r.incarnation(), evidenceTime(pulledAt, now, r.ageMillis()));
        }
        settleConfirmations();
    }

    private void compare(HostId from, List<Long> theirs) {
        List<Long> mine = table.digests();
        List<Integer> differing = new ArrayList<>();
        List<MemberEntry> entries = new ArrayList<>();
        int bytes = 0;
        int start = random.nextInt(MemberTable.BUCKETS);
        for (int i = 0; i < MemberTable.BUCKETS && bytes < SYNC_BYTES; i++) {
            int bucket = (start + i) % MemberTable.BUCKETS;
            if (theirs.size() == mine.size() && !theirs.get(bucket).equals(mine.get(bucket))) {
                differing.add(bucket);
                entries.addAll(table.bucket(bucket));
                bytes = entries.stream().mapToInt(MemberEntry::sizeBytes).sum();
            }
        }
        if (!differing.isEmpty()) {
            send(from, new MembershipMessage.Buckets(differing, entries, true));
        }
    }

    private void mergeBuckets(HostId from, MembershipMessage.Buckets m) {
        int sends = Math.max(0, maxSends() - SYNC_NEWS_SENDS);
        boolean changed = mergeAll(m.entries(), sends);
        m.entries().forEach(this::correct);
        if (m.answer()) {
            send(from, new MembershipMessage.Buckets(m.buckets(), missing(m), false));
        }
        if (changed) {
            syncAgainWith = from;
            nextSync = Math.min(nextSync, now + SYNC_AGAIN_MILLIS);
        }
    }

    /** Returns the entries in the buckets of {@code m} that its sender does not list. */
    private List<MemberEntry> missing(MembershipMessage.Buckets m) {
        Set<MemberEntry> theirs = new HashSet<>(m.entries());
        List<MemberEntry> missing = new ArrayList<>();
        for (int bucket : m.buckets()) {
            if (bucket >= 0 && bucket < MemberTable.BUCKETS) {
                missing.addAll(table.bucket(bucket));
            }
        }
        missing.removeIf(theirs::contains);
        return missing;
    }

    /** Passes on what is held of an endpoint when a peer still lists an older entry. */
    private void correct(MemberEntry entry) {
        if (entry instanceof EndpointEntry e) {
            EndpointEntry held = table.endpoint(e.info().id());
            if (held != null && !held.equals(e) && held.supersedes(e)) {
                news.add(held, 0);
            }
        }
    }

    private boolean mergeAll(List<MemberEntry> entries, int sent) {
        boolean changed = false;
        for (MemberEntry entry : entries) {
            changed |=
                    entry instanceof HostEntry h
                            ? merge(h, sent)
                            : adopt((EndpointEntry) entry, sent);
        }
        return changed;
    }

    private boolean merge(HostEntry entry, int sent) {
        HostEntry held = table.host(entry.id());
        if (entry.id().equals(self)) {
            return refute(entry, held);
        }
        if (!others.contains(entry.id()) || !entry.supersedes(held)) {
            return false;
        }
        table.put(entry);
        tellNews(entry, sent);
        detector.stateChanged(entry.id(), entry.state(), now);
        if (held == null || held.state() != entry.state()) {
            effects.add(new MembershipEffect.HostChanged(entry.id(), entry.state()));
        }
        return true;
    }

    private boolean refute(HostEntry rumour, HostEntry own) {
        if (!rumour.supersedes(own)) {
            return false;
        }
        HostEntry next = new HostEntry(self, rumour.incarnation() + 1, HostState.ALIVE);
        table.put(next);
        news.add(next, 0);
        return true;
    }

    private boolean adopt(EndpointEntry entry, int sent) {
        EndpointEntry held = table.endpoint(entry.info().id());
        if (held != null && !supersedes(entry, held)) {
            return false;
        }
        table.put(entry, now);
        tellNews(entry, sent);
        if (!entry.isAlive()) {
            evidence.drop(entry.info().id());
        }
        return true;
    }

    /** Passes an entry on, unless it comes from the first synchronization after the start. */
    private void tellNews(MemberEntry entry, int sent) {
        if (sent == 0 || now >= startedAt + SETTLING_IN_MILLIS) {
            news.add(entry, sent);
        }
    }

    private void confirm(MembershipInput.Confirm c) {
        EndpointEntry e = table.endpoint(c.endpoint());
        boolean alive = e != null && e.isAlive();
        if (!alive || evidenceAge(e, now) < EVIDENCE_MILLIS) {
            effects.add(new MembershipEffect.Confirmed(c.request(), c.endpoint(), alive));
        } else {
            boolean direct = e.home().equals(self) || stateOf(e.home()) != HostState.ALIVE;
            confirmations.add(c.request(), c.endpoint(), now, direct);
            if (direct) {
                check(c.endpoint());
            } else {
                pull(e.home());
            }
        }
        if (alive) {
            usedHomes.put(e.home(), now);
        }
    }

    private void checked(MembershipInput.Checked c) {
        Asked asked = checks.remove(c.check());
        EndpointEntry e = asked == null ? null : table.endpoint(asked.endpoint());
        if (e == null || e.info().incarnation() != c.incarnation()) {
            return;
        }
        if (c.leaving()) {
            adopt(new EndpointEntry(e.info().asLeaving(), e.home(), e.term() + 1, false), 0);
        } else {
            evidence.seen(asked.endpoint(), c.incarnation(), asked.sentMillis());
        }
        settleConfirmations();
    }

    private void settleConfirmations() {
        confirmations.settle(now, id -> isUsable(id, now), effects::add);
    }

    private void hostsChanged(Set<HostId> hosts) {
        others = new TreeSet<>(hosts);
        others.remove(self);
        otherList = List.copyOf(others);
        detector.setOthers(otherList);
        for (HostId known : List.copyOf(table.hosts().keySet())) {
            if (!hosts.contains(known) && !known.equals(self)) {
                table.removeHost(known);
            }
        }
    }

    private void tick() {
        detector.tick(now);
        confirmations.escalate(now, this::check);
        settleConfirmations();
        if (now >= nextGossip) {
            nextGossip = now + GOSSIP_MILLIS;
            gossip();
        }
        if (now >= nextSync) {
            nextSync = now + SYNC_MILLIS + random.nextInt((int) GOSSIP_MILLIS);
            sync();
        }
        if (now >= nextRefresh) {
            nextRefresh = now + REFRESH_MILLIS;
            refresh();
        }
        if (now >= nextHousekeeping) {
            nextHousekeeping = now + HOUSEKEEPING_MILLIS;
            keepHouse();
        }
    }

    private void gossip() {
        for (int i = 0; i < GOSSIP_PEERS && !news.isEmpty(); i++) {
            HostId peer = randomPeer();
            if (peer != null) {
                send(peer, new MembershipMessage.Gossip(takeNews()));
            }
        }
    }

    private void sync() {
        HostId peer = syncAgainWith == null ? randomPeer() : syncAgainWith;
        syncAgainWith = null;
        if (peer != null) {
            send(peer, new MembershipMessage.Digest(table.digests()));
        }
    }

    /** Asks the homes of the endpoints in use, or all homes where they are few. */
    private void refresh() {
        Set<HostId> homes = new TreeSet<>();
        for (EndpointEntry e : table.endpoints().values()) {
            if (e.isAlive() && !e.home().equals(self)) {
                homes.add(e.home());
            }
        }
        if (homes.size() > MAX_REFRESHED_HOMES) {
            List<HostId> used = new ArrayList<>(usedHomes.keySet());
            int from = Math.max(0, used.size() - MAX_REFRESHED_HOMES);
            homes.retainAll(new HashSet<>(used.subList(from, used.size())));
        }
        homes.removeIf(h -> stateOf(h) == HostState.DEAD);
        homes.forEach(this::pull);
        checkStale(homes);
    }

    private void checkStale(Set<HostId> homes) {
        for (EndpointEntry e : table.endpoints().values()) {
            boolean ours = homes.contains(e.home()) || e.home().equals(self);
            if (e.isAlive() && ours && evidenceAge(e, now) >= STALE_MILLIS) {
                check(e.info().id());
            }
        }
    }

    private void keepHouse() {
        pulls.values().removeIf(at -> at < now - PULL_MILLIS);
        checks.values().removeIf(a -> a.sentMillis() < now - PULL_MILLIS);
        checkedAt.values().removeIf(at -> at < now - CHECK_AGAIN_MILLIS);
        usedHomes.keySet().retainAll(table.hosts().keySet());
        evidence.forgetBefore(now - FORGET_MILLIS);
        table.retireEndedBefore(now - RETIRE_MILLIS);
        table.forgetEndedBefore(now - FORGET_MILLIS);
        for (EndpointEntry e : List.copyOf(table.endpoints().values())) {
            expire(e);
        }
    }

    private void expire(EndpointEntry e) {
        EndpointId id = e.info().id();
        boolean ours = e.home().equals(self);
        boolean orphan = ours || stateOf(e.home()) == HostState.DEAD;
        if (!e.isAlive() || !orphan) {
            orphanSince.remove(id);
            return;
        }
        long since = orphanSince.computeIfAbsent(id, i -> now);
        long seen = Math.max(since, evidence.lastSeen(id, e.info().incarnation()));
        if (now - seen > (ours ? GONE_MILLIS : DEAD_HOME_MILLIS)) {
            adopt(e.asGone(), 0);
        }
    }

    private void pull(HostId home) {
        long number = ++numbers;
        pulls.put(number, now);
        send(home, new MembershipMessage.Pull(number));
    }

    private void check(EndpointId id) {
        EndpointEntry e = table.endpoint(id);
        Long last = checkedAt.get(id);
        if (e == null || (last != null && now - last < CHECK_AGAIN_MILLIS)) {
            return;
        }
        checkedAt.put(id, now);
        long number = ++numbers;
        checks.put(number, new Asked(id, now));
        effects.add(new MembershipEffect.Check(number, e.info()));
    }

    private HostId randomPeer() {
        return otherList.isEmpty() ? null : otherList.get(random.nextInt(otherList.size()));
    }

    private List<MemberEntry> takeNews() {
        return news.take(GOSSIP_BYTES, maxSends());
    }

    private int maxSends() {
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(otherList.size() + 1);
        return SENDS_PER_DOUBLING * doublings;
    }

    private HostState stateOf(HostId host) {
        if (host.equals(self)) {
            return HostState.ALIVE;
        }
        HostEntry e = table.host(host);
        return e == null ? HostState.ALIVE : e.state();
    }

    private void send(HostId to, MembershipMessage message) {
        effects.add(new MembershipEffect.Send(to, message));
    }

    /** Carries out what the failure detector decides. */
    private final class DetectorContext implements FailureDetector.Context {
        @Override
        public HostState stateOf(HostId host) {
            return Membership.this.stateOf(host);
        }

        @Override
        public void ping(HostId to, long number) {
            List<MemberEntry> entries = new ArrayList<>();
            entries.add(table.host(self));
            entries.addAll(takeNews());
            send(to, new MembershipMessage.Ping(number, entries));
        }

        @Override
        public void requestPing(HostId helper, HostId target, long number) {
            send(helper, new MembershipMessage.PingRequest(number, target));
        }

        @Override
        public void judge(HostId host, HostState state) {
            HostEntry held = table.host(host);
            long incarnation = held == null ? 0 : held.incarnation();
            merge(new HostEntry(host, incarnation, state), 0);
        }
    }
}
