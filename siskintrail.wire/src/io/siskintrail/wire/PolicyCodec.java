package io.siskintrail.wire;

import io.siskintrail.internal.policy.PolicyMessage;
import io.siskintrail.internal.policy.SuspensionCounts;
import io.siskintrail.internal.policy.Target;
import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.Rank;
import io.siskintrail.wire.gen.policy.ClaimData;
import io.siskintrail.wire.gen.policy.GrantData;
import io.siskintrail.wire.gen.policy.GrantedSlotsData;
import io.siskintrail.wire.gen.policy.HeldSlotsData;
import io.siskintrail.wire.gen.policy.PolicyMessageData;
import io.siskintrail.wire.gen.policy.PoolStateData;
import io.siskintrail.wire.gen.policy.RankData;
import io.siskintrail.wire.gen.policy.SuspensionsData;
import io.siskintrail.wire.gen.policy.UsageData;
import io.siskintrail.wire.gen.policy.UsageEntryData;
import io.siskintrail.wire.gen.policy.WaitingWorkData;
import org.apache.thrift.TException;

/** Converts the messages between the dispatchers of routers. */
public final class PolicyCodec {

    private PolicyCodec() {}

    /** Returns the compact form of {@code message}. */
    public static byte[] encode(PolicyMessage message) {
        PolicyMessageData data = new PolicyMessageData();
        if (message instanceof PolicyMessage.Usage u) {
            data.setUsage(write(u));
        } else if (message instanceof PolicyMessage.Claim c) {
            data.setClaim(write(c));
        } else if (message instanceof PolicyMessage.Grant g) {
            data.setGrant(write(g));
        }
        return ThriftCodec.encode(data);
    }

    /**
     * Reads a message.
     *
     * @throws IllegalArgumentException when the bytes are not a policy message
     */
    public static PolicyMessage decode(byte[] body) {
        try {
            PolicyMessageData data = ThriftCodec.decode(body, new PolicyMessageData());
            if (data.isSetUsage()) {
                return read(data.getUsage());
            }
            return data.isSetClaim() ? read(data.getClaim()) : read(data.getGrant());
        } catch (TException | RuntimeException e) {
            throw new IllegalArgumentException("not a policy message", e);
        }
    }

    private static UsageData write(PolicyMessage.Usage u) {
        return new UsageData(
                u.incarnation(),
                u.sequence(),
                u.entries().stream().map(PolicyCodec::write).toList());
    }

    private static UsageEntryData write(PolicyMessage.UsageEntry e) {
        return new UsageEntryData(
                e.account().value(),
                write(e.rank()),
                e.servedCost(),
                e.requests(),
                e.inFlight(),
                e.waiting());
    }

    private static PolicyMessage.Usage read(UsageData u) {
        return new PolicyMessage.Usage(
                u.getIncarnation(),
                u.getSequence(),
                u.getEntries().stream().map(PolicyCodec::read).toList());
    }

    private static PolicyMessage.UsageEntry read(UsageEntryData e) {
        return new PolicyMessage.UsageEntry(
                new AccountId(e.getAccount()),
                read(e.getRank()),
                e.getServed(),
                e.getRequests(),
                e.getInFlight(),
                e.getWaiting());
    }

    private static ClaimData write(PolicyMessage.Claim c) {
        return new ClaimData(
                c.pool(),
                c.sequence(),
                c.appliedGrant(),
                c.bulkLimit(),
                write(c.suspendable()),
                c.suspending(),
                c.heldSlots().stream().map(PolicyCodec::write).toList(),
                c.waitingWork().stream().map(PolicyCodec::write).toList());
    }

    private static PolicyMessage.Claim read(ClaimData c) {
        return new PolicyMessage.Claim(
                c.getPool(),
                c.getSequence(),
                c.getAppliedGrant(),
                c.getBulkLimit(),
                read(c.getSuspendable()),
                c.getSuspending(),
                c.getHeld().stream().map(PolicyCodec::read).toList(),
                c.getWaits().stream().map(PolicyCodec::read).toList());
    }

    private static HeldSlotsData write(PolicyMessage.HeldSlots h) {
        return new HeldSlotsData(h.endpoint().value(), h.granted(), h.urgent(), h.bulk());
    }

    private static PolicyMessage.HeldSlots read(HeldSlotsData h) {
        return new PolicyMessage.HeldSlots(
                new EndpointId(h.getEndpoint()), h.getGranted(), h.getUrgent(), h.getBulk());
    }

    private static WaitingWorkData write(PolicyMessage.WaitingWork w) {
        WaitingWorkData data =
                new WaitingWorkData(
                        write(w.rank()), w.account().value(), w.target().value(), w.count());
        if (w.preferredEndpoint() != null) {
            data.setPreferred(w.preferredEndpoint().value());
        }
        return data;
    }

    private static PolicyMessage.WaitingWork read(WaitingWorkData w) {
        return new PolicyMessage.WaitingWork(
                read(w.getRank()),
                new AccountId(w.getAccount()),
                new Target(w.getTarget()),
                w.getCount(),
                w.isSetPreferred() ? new EndpointId(w.getPreferred()) : null);
    }

    private static GrantData write(PolicyMessage.Grant g) {
        return new GrantData(
                g.pool(),
                g.sequence(),
                g.acknowledgedClaim(),
                g.leaseMillis(),
                g.slots().stream().map(PolicyCodec::write).toList(),
                g.bulkLimit(),
                write(g.state()),
                write(g.requestedSuspensions()));
    }

    private static PolicyMessage.Grant read(GrantData g) {
        return new PolicyMessage.Grant(
                g.getPool(),
                g.getSequence(),
                g.getAckedClaim(),
                g.getLeaseMillis(),
                g.getSlots().stream().map(PolicyCodec::read).toList(),
                g.getBulkLimit(),
                read(g.getState()),
                read(g.getSuspend()));
    }

    private static GrantedSlotsData write(PolicyMessage.GrantedSlots s) {
        return new GrantedSlotsData(s.endpoint().value(), s.count());
    }

    private static PolicyMessage.GrantedSlots read(GrantedSlotsData s) {
        return new PolicyMessage.GrantedSlots(new EndpointId(s.getEndpoint()), s.getCount());
    }

    private static PoolStateData write(PolicyMessage.PoolState s) {
        PoolStateData data =
                new PoolStateData(
                        s.slots(),
                        s.urgentRunning(),
                        s.bulkRunning(),
                        s.urgentOnlyHeadroomLeft(),
                        s.bulkOnlyHeadroomLeft());
        if (s.nextUrgentAccount() != null) {
            data.setUrgentWaiting(s.nextUrgentAccount().value());
        }
        if (s.nextBulkAccount() != null) {
            data.setBulkWaiting(s.nextBulkAccount().value());
        }
        return data;
    }

    private static PolicyMessage.PoolState read(PoolStateData s) {
        return new PolicyMessage.PoolState(
                s.getSlots(),
                s.getUrgentRunning(),
                s.getBulkRunning(),
                s.isUrgentTight(),
                s.isBulkTight(),
                s.isSetUrgentWaiting() ? new AccountId(s.getUrgentWaiting()) : null,
                s.isSetBulkWaiting() ? new AccountId(s.getBulkWaiting()) : null);
    }

    private static SuspensionsData write(SuspensionCounts s) {
        return new SuspensionsData(s.bulk(), s.urgentOverShare(), s.bulkOverShare());
    }

    private static SuspensionCounts read(SuspensionsData s) {
        return new SuspensionCounts(s.getBulk(), s.getUrgentOverShare(), s.getBulkOverShare());
    }

    private static RankData write(Rank rank) {
        return rank == Rank.URGENT ? RankData.URGENT : RankData.BULK;
    }

    private static Rank read(RankData rank) {
        return rank == RankData.URGENT ? Rank.URGENT : Rank.BULK;
    }
}
