package io.siskintrail.internal.membership;

import static com.google.common.truth.Truth.assertWithMessage;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.EndpointKind;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ServiceName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Several routers and endpoints in virtual time, with messages that are lost, late and repeated.
 * After each tick it checks that no router would give work to an endpoint that has been leaving or
 * dead for longer than the bound.
 */
final class MembershipWorld {
    static final int ROUTERS = 4;
    private static final int ENDPOINTS = 3;
    private static final long BOUND_MILLIS = 3_000;
    private static final long RENEW_MILLIS = 500;
    private static final long SETTLE_MILLIS = 90_000;

    private record Mail(long at, int to, long boot, MembershipInput input) {}

    /** What is true of an endpoint. */
    private static final class Endpoint {
        final int number;
        long incarnation;
        boolean up;
        boolean paused;
        boolean leaving;
        int router;
        long nextRenewal;
        long stamp;
        long stampBoot = -1;
        final Map<Long, Long> acceptedUntil = new HashMap<>();

        Endpoint(int number) {
            this.number = number;
        }

        EndpointInfo info() {
            return new EndpointInfo(
                    new EndpointId("e" + number),
                    "10.0.0.1:8" + number,
                    EndpointKind.SERVICE,
                    new FailureDomain("d"),
                    List.of(),
                    List.of(new ServiceName("s")),
                    1,
                    false,
                    incarnation,
                    leaving);
        }
    }

    /** Makes the membership of a router from its number and start. */
    interface Factory {
        Membership make(HostId host, long boot, long seed);
    }

    private final Factory factory;
    private final SplittableRandom random;
    private final Membership[] routers = new Membership[ROUTERS];
    private final long[] boots = new long[ROUTERS];
    private final boolean[] paused = new boolean[ROUTERS];
    private final boolean[] isolated = new boolean[ROUTERS];
    private final Endpoint[] endpoints = new Endpoint[ENDPOINTS];
    private final Set<String> knownLeft = new HashSet<>();
    private List<Mail> mails = new ArrayList<>();
    private double lossShare = 0.1;
    private long now = 10_000;
    private long bootNumbers;
    private int usable;
    private boolean calm;

    MembershipWorld(Factory factory, long seed) {
        this.factory = factory;
        this.random = new SplittableRandom(seed);
        for (int r = 0; r < ROUTERS; r++) {
            restart(r);
        }
        for (int e = 0; e < ENDPOINTS; e++) {
            endpoints[e] = new Endpoint(e);
            start(endpoints[e]);
        }
    }

    int usableSeen() {
        return usable;
    }

    /** Lets one fault or change happen and then time pass. */
    void act(int number) {
        int r = Math.floorMod(number / 64, ROUTERS);
        Endpoint e = endpoints[Math.floorMod(number / 1024, ENDPOINTS)];
        switch (number % 64) {
            case 0 -> routers[r] = null;
            case 1, 2, 3 -> restartIfDown(r);
            case 4 -> paused[r] = true;
            case 5, 6, 7 -> paused[r] = false;
            case 8 -> isolated[r] = true;
            case 9, 10 -> isolated[r] = false;
            case 11, 12 -> leave(e);
            case 13 -> e.up = false;
            case 14, 15, 16 -> restartIfEnded(e);
            case 17 -> e.paused = true;
            case 18, 19 -> e.paused = false;
            case 20 -> e.router = r;
            case 21 -> lossShare = (number / 64 % 10) * 0.08;
            default -> {}
        }
        tick(number % 64 == 22 ? 1_000 : Membership.TICK_MILLIS);
    }

    /** Ends all faults and checks that every router comes to know the truth. */
    void settleDown() {
        lossShare = 0;
        calm = true;
        for (int r = 0; r < ROUTERS; r++) {
            paused[r] = false;
            isolated[r] = false;
            restartIfDown(r);
        }
        for (Endpoint e : endpoints) {
            e.paused = false;
        }
        for (long end = now + SETTLE_MILLIS; now < end; ) {
            tick(Membership.TICK_MILLIS);
        }
        Set<EndpointInfo> truth = new HashSet<>();
        for (Endpoint e : endpoints) {
            if (e.up && !e.leaving) {
                truth.add(e.info());
            }
        }
        for (Membership m : routers) {
            assertWithMessage("endpoints at rest")
                    .that(m.aliveEndpoints())
                    .containsExactlyElementsIn(truth);
            truth.forEach(
                    i -> assertWithMessage("usable %s", i).that(m.isUsable(i.id(), now)).isTrue());
            assertWithMessage("hosts at rest")
                    .that(m.hosts().stream().filter(h -> h.state() == HostState.ALIVE).count())
                    .isEqualTo(ROUTERS);
        }
    }

    private void tick(long millis) {
        now += millis;
        for (Endpoint e : endpoints) {
            renew(e);
            if (e.up && !e.leaving) {
                e.acceptedUntil.put(e.incarnation, now);
            }
        }
        deliver();
        for (int r = 0; r < ROUTERS; r++) {
            if (routers[r] != null && !paused[r]) {
                step(r, new MembershipInput.Tick());
                check(r);
            }
        }
    }

    private void check(int r) {
        for (EndpointEntry entry : routers[r].endpoints()) {
            EndpointInfo info = entry.info();
            Endpoint truth = endpoints[info.id().value().charAt(1) - '0'];
            if (routers[r].isUsable(info.id(), now)) {
                usable++;
                assertWithMessage("millis since %s took work, on router %s", info, r)
                        .that(now - truth.acceptedUntil.get(info.incarnation()))
                        .isAtMost(BOUND_MILLIS);
            }
            String left = boots[r] + info.id().value() + info.incarnation();
            if (info.leaving()) {
                knownLeft.add(left);
            } else {
                assertWithMessage("return of %s after it left", info)
                        .that(knownLeft)
                        .doesNotContain(left);
            }
        }
    }

    private void step(int r, MembershipInput input) {
        for (MembershipEffect effect : routers[r].step(now, input)) {
            if (effect instanceof MembershipEffect.Send s) {
                int to = s.to().value().charAt(1) - '0';
                if (!isolated[r] && !isolated[to]) {
                    mail(to, new MembershipInput.Received(host(r), s.message()));
                }
            } else if (effect instanceof MembershipEffect.Check c) {
                answer(r, c);
            }
        }
    }

    private void answer(int r, MembershipEffect.Check c) {
        Endpoint e = endpoints[c.info().id().value().charAt(1) - '0'];
        if (e.up && !e.paused && !isolated[r]) {
            mail(r, new MembershipInput.Checked(c.check(), e.incarnation, e.leaving));
        }
    }

    private void mail(int to, MembershipInput input) {
        int copies = random.nextInt(20) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (random.nextDouble() >= lossShare) {
                long delay =
                        !calm && random.nextInt(30) == 0
                                ? random.nextInt(8_000)
                                : random.nextInt(20);
                mails.add(new Mail(now + delay, to, boots[to], input));
            }
        }
    }

    private void deliver() {
        List<Mail> due = new ArrayList<>();
        List<Mail> later = new ArrayList<>();
        for (Mail m : mails) {
            boolean ready = m.at <= now && !(paused[m.to] && routers[m.to] != null);
            (ready ? due : later).add(m);
        }
        mails = later;
        for (Mail m : due) {
            if (routers[m.to] != null && boots[m.to] == m.boot) {
                step(m.to, m.input);
                stamp(m);
            }
        }
    }

    private void renew(Endpoint e) {
        if (!e.up || e.paused || now < e.nextRenewal) {
            return;
        }
        boolean reached =
                routers[e.router] != null && !paused[e.router] && random.nextDouble() >= lossShare;
        if (reached) {
            long boot = boots[e.router];
            long stamp = e.stampBoot == boot ? e.stamp : MembershipInput.Announced.NO_STAMP;
            mail(e.router, new MembershipInput.Announced(e.info(), stamp));
        } else {
            e.router = (e.router + 1) % ROUTERS;
        }
        e.nextRenewal = now + (reached ? RENEW_MILLIS : RENEW_MILLIS / 4);
    }

    /** Hands the answer of a router to the endpoint that announced. */
    private void stamp(Mail m) {
        if (m.input instanceof MembershipInput.Announced a) {
            Endpoint e = endpoints[a.info().id().value().charAt(1) - '0'];
            if (e.incarnation == a.info().incarnation() && random.nextDouble() >= lossShare) {
                e.stamp = now;
                e.stampBoot = m.boot;
            }
        }
    }

    private void leave(Endpoint e) {
        if (e.up) {
            e.leaving = true;
            e.nextRenewal = now;
        }
    }

    private void restartIfEnded(Endpoint e) {
        if (!e.up || e.leaving) {
            start(e);
        }
    }

    private void start(Endpoint e) {
        e.up = true;
        e.leaving = false;
        e.paused = false;
        e.incarnation++;
        e.acceptedUntil.put(e.incarnation, now);
        e.nextRenewal = now;
    }

    private void restartIfDown(int r) {
        if (routers[r] == null) {
            restart(r);
        }
    }

    private void restart(int r) {
        boots[r] = ++bootNumbers;
        paused[r] = false;
        routers[r] = factory.make(host(r), boots[r], random.nextLong());
        Set<HostId> hosts = new TreeSet<>();
        for (int i = 0; i < ROUTERS; i++) {
            hosts.add(host(i));
        }
        step(r, new MembershipInput.HostsChanged(hosts));
    }

    private static HostId host(int router) {
        return new HostId("h" + router);
    }
}
