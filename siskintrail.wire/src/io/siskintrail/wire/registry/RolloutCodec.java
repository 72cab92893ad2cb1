package io.siskintrail.wire.registry;

import io.siskintrail.internal.rollout.RolloutCommand;
import io.siskintrail.internal.rollout.RolloutOrder;
import io.siskintrail.internal.rollout.RolloutRecord;
import io.siskintrail.lib.EndpointVersion;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.wire.ThriftCodec;
import io.siskintrail.wire.gen.rollout.RegistryImageData;
import io.siskintrail.wire.gen.rollout.RolloutCommandData;
import io.siskintrail.wire.gen.rollout.RolloutData;
import io.siskintrail.wire.gen.rollout.RolloutEndData;
import io.siskintrail.wire.gen.rollout.RolloutListData;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.apache.thrift.TException;

/** Converts rollouts in the log of the registries, and snapshots that have them, to bytes. */
public final class RolloutCodec {

    private RolloutCodec() {}

    /**
     * A snapshot.
     *
     * @param configuration the command that set the configuration
     * @param rollouts the newest rollout of each service
     */
    public record Image(byte[] configuration, List<RolloutRecord> rollouts) {}

    /** Returns the bytes of a command. */
    public static byte[] encode(RolloutCommand command) {
        if (command instanceof RolloutCommand.Start s) {
            return ThriftCodec.encode(RolloutCommandData.start(data(s.rollout())));
        }
        RolloutCommand.End e = (RolloutCommand.End) command;
        return ThriftCodec.encode(
                RolloutCommandData.finish(
                        new RolloutEndData(e.service().value(), e.number(), e.status().ordinal())));
    }

    /**
     * Returns the command in {@code bytes}.
     *
     * @throws IllegalArgumentException if there is none, or one that this build does not know
     */
    public static RolloutCommand decodeCommand(byte[] bytes) {
        try {
            RolloutCommandData data = ThriftCodec.decode(bytes, new RolloutCommandData());
            if (data.isSetStart()) {
                return new RolloutCommand.Start(rollout(data.getStart()));
            }
            if (data.isSetFinish()) {
                RolloutEndData end = data.getFinish();
                return new RolloutCommand.End(
                        new ServiceName(end.getServiceName()),
                        end.getNumber(),
                        status(end.getStatus()));
            }
        } catch (TException e) {
            throw new IllegalArgumentException("not a rollout command", e);
        }
        throw new IllegalArgumentException("unknown rollout command");
    }

    /** Returns the bytes of a snapshot. */
    public static byte[] encode(Image image) {
        return ThriftCodec.encode(
                new RegistryImageData(
                        ByteBuffer.wrap(image.configuration()),
                        image.rollouts().stream().map(RolloutCodec::data).toList()));
    }

    /**
     * Returns the snapshot in {@code bytes}.
     *
     * @throws IllegalArgumentException if there is none
     */
    public static Image decodeImage(byte[] bytes) {
        try {
            RegistryImageData data = ThriftCodec.decode(bytes, new RegistryImageData());
            return new Image(
                    data.getConfiguration(),
                    data.getRollouts().stream().map(RolloutCodec::rollout).toList());
        } catch (TException e) {
            throw new IllegalArgumentException("not a snapshot with rollouts", e);
        }
    }

    static RolloutListData listData(List<RolloutRecord> rollouts) {
        return new RolloutListData(rollouts.stream().map(RolloutCodec::data).toList());
    }

    /** Returns the rollouts, without those that have a value which this build does not know. */
    static List<RolloutRecord> readRollouts(RolloutListData list) {
        List<RolloutRecord> rollouts = new ArrayList<>();
        for (RolloutData data : list.getRollouts()) {
            try {
                rollouts.add(rollout(data));
            } catch (IllegalArgumentException e) {
                // A later build sent it; the other rollouts are valid.
                continue;
            }
        }
        return rollouts;
    }

    private static RolloutData data(RolloutRecord r) {
        RolloutOrder order = r.order();
        return new RolloutData(
                order.service().value(),
                r.number(),
                order.to().value(),
                order.durationMillis(),
                r.orderedUnixMillis(),
                r.status().ordinal());
    }

    private static RolloutRecord rollout(RolloutData d) {
        RolloutOrder order =
                new RolloutOrder(
                        new ServiceName(d.getServiceName()),
                        new EndpointVersion(d.getVersion()),
                        d.getDurationMillis());
        return new RolloutRecord(
                order, d.getNumber(), d.getOrderedUnixMillis(), status(d.getStatus()));
    }

    private static RolloutRecord.Status status(int index) {
        RolloutRecord.Status[] all = RolloutRecord.Status.values();
        if (index < 0 || index >= all.length) {
            throw new IllegalArgumentException("unknown rollout status " + index);
        }
        return all[index];
    }
}
