package io.siskintrail.wire;

import io.siskintrail.internal.control.ConfigurationAnswer;
import io.siskintrail.internal.control.ConfigurationCommand;
import io.siskintrail.internal.control.ConfigurationImage;
import io.siskintrail.lib.HostId;
import io.siskintrail.wire.control.StateCodec;
import io.siskintrail.wire.gen.control.ApplyRulesData;
import io.siskintrail.wire.gen.control.ConfigurationAnswerData;
import io.siskintrail.wire.gen.control.ConfigurationCommandData;
import io.siskintrail.wire.gen.control.ConfigurationImageData;
import io.siskintrail.wire.gen.control.NumberTakenData;
import io.siskintrail.wire.gen.control.RulesAppliedData;
import io.siskintrail.wire.gen.control.SeedHostsData;
import io.siskintrail.wire.gen.control.SetDrainingData;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;

/** Converts commands, answers and images of rules and hosts to Thrift and back. */
public final class ConfigurationCodec
        implements StateCodec<ConfigurationCommand, ConfigurationAnswer, ConfigurationImage> {

    @Override
    public byte[] encodeCommand(ConfigurationCommand command) {
        return ThriftCodec.encode(toData(command));
    }

    @Override
    public ConfigurationCommand decodeCommand(byte[] bytes) {
        return fromData(decode(bytes, new ConfigurationCommandData()));
    }

    @Override
    public byte[] encodeAnswer(ConfigurationAnswer answer) {
        return ThriftCodec.encode(toData(answer));
    }

    @Override
    public ConfigurationAnswer decodeAnswer(byte[] bytes) {
        return fromData(decode(bytes, new ConfigurationAnswerData()));
    }

    @Override
    public byte[] encodeImage(ConfigurationImage image) {
        return ThriftCodec.encode(
                new ConfigurationImageData(
                        ConfigurationValues.toData(image.current()),
                        ConfigurationValues.toData(image.previousHosts()),
                        image.hostsVersion(),
                        image.inForceVersion(),
                        image.history().stream().map(ConfigurationValues::toData).toList()));
    }

    @Override
    public ConfigurationImage decodeImage(byte[] bytes) {
        ConfigurationImageData d = decode(bytes, new ConfigurationImageData());
        return new ConfigurationImage(
                ConfigurationValues.fromData(d.getCurrent()),
                ConfigurationValues.fromData(d.getPreviousHosts()),
                d.getHostsVersion(),
                d.getInForceVersion(),
                d.getHistory().stream().map(ConfigurationValues::fromData).toList());
    }

    private static <T extends TBase<?, ?>> T decode(byte[] bytes, T empty) {
        try {
            return ThriftCodec.decode(bytes, empty);
        } catch (TException e) {
            throw new IllegalArgumentException("not a message of the configuration", e);
        }
    }

    private static ConfigurationCommandData toData(ConfigurationCommand command) {
        if (command instanceof ConfigurationCommand.ApplyRules c) {
            return ConfigurationCommandData.applyRules(
                    new ApplyRulesData(c.baseNumber(), DeflatedText.pack(c.text()), c.operator()));
        }
        if (command instanceof ConfigurationCommand.MarkInForce c) {
            return ConfigurationCommandData.markInForce(c.version());
        }
        if (command instanceof ConfigurationCommand.SeedHosts c) {
            return ConfigurationCommandData.seedHosts(
                    new SeedHostsData(ConfigurationValues.toData(c.hosts())));
        }
        if (command instanceof ConfigurationCommand.PutHost c) {
            return ConfigurationCommandData.putHost(ConfigurationValues.toData(c.host()));
        }
        if (command instanceof ConfigurationCommand.SetDraining c) {
            return ConfigurationCommandData.setDraining(
                    new SetDrainingData(c.host().value(), c.draining()));
        }
        ConfigurationCommand.RemoveHost c = (ConfigurationCommand.RemoveHost) command;
        return ConfigurationCommandData.removeHost(c.host().value());
    }

    private static ConfigurationCommand fromData(ConfigurationCommandData data) {
        return switch (data.getSetField()) {
            case APPLY_RULES -> {
                ApplyRulesData d = data.getApplyRules();
                String text = DeflatedText.unpack(d.getRulesDeflated());
                yield new ConfigurationCommand.ApplyRules(
                        d.getBaseNumber(), text, d.getByOperator());
            }
            case MARK_IN_FORCE -> new ConfigurationCommand.MarkInForce(data.getMarkInForce());
            case SEED_HOSTS ->
                    new ConfigurationCommand.SeedHosts(
                            ConfigurationValues.fromData(data.getSeedHosts().getHosts()));
            case PUT_HOST ->
                    new ConfigurationCommand.PutHost(
                            ConfigurationValues.fromData(data.getPutHost()));
            case REMOVE_HOST ->
                    new ConfigurationCommand.RemoveHost(new HostId(data.getRemoveHost()));
            case SET_DRAINING ->
                    new ConfigurationCommand.SetDraining(
                            new HostId(data.getSetDraining().getHost()),
                            data.getSetDraining().isDraining());
        };
    }

    private static ConfigurationAnswerData toData(ConfigurationAnswer answer) {
        if (answer instanceof ConfigurationAnswer.RulesApplied a) {
            return ConfigurationAnswerData.rulesApplied(
                    new RulesAppliedData(a.number(), a.version()));
        }
        if (answer instanceof ConfigurationAnswer.NumberTaken a) {
            NumberTakenData d = new NumberTakenData(a.currentNumber());
            if (a.winner() != null) {
                d.setWinner(ConfigurationValues.toData(a.winner()));
            }
            return ConfigurationAnswerData.numberTaken(d);
        }
        if (answer instanceof ConfigurationAnswer.NumberUnknown a) {
            return ConfigurationAnswerData.numberUnknown(a.currentNumber());
        }
        if (answer instanceof ConfigurationAnswer.HostsChanged a) {
            return ConfigurationAnswerData.hostsChanged(a.version());
        }
        if (answer instanceof ConfigurationAnswer.HostsPending a) {
            return ConfigurationAnswerData.hostsPending(a.version());
        }
        if (answer instanceof ConfigurationAnswer.Marked a) {
            return ConfigurationAnswerData.marked(a.version());
        }
        return ConfigurationAnswerData.hostsRefused(true);
    }

    private static ConfigurationAnswer fromData(ConfigurationAnswerData data) {
        return switch (data.getSetField()) {
            case RULES_APPLIED ->
                    new ConfigurationAnswer.RulesApplied(
                            data.getRulesApplied().getNumber(),
                            data.getRulesApplied().getVersion());
            case NUMBER_TAKEN -> {
                NumberTakenData d = data.getNumberTaken();
                yield new ConfigurationAnswer.NumberTaken(
                        d.isSetWinner() ? ConfigurationValues.fromData(d.getWinner()) : null,
                        d.getCurrentNumber());
            }
            case NUMBER_UNKNOWN -> new ConfigurationAnswer.NumberUnknown(data.getNumberUnknown());
            case HOSTS_CHANGED -> new ConfigurationAnswer.HostsChanged(data.getHostsChanged());
            case HOSTS_PENDING -> new ConfigurationAnswer.HostsPending(data.getHostsPending());
            case HOSTS_REFUSED -> new ConfigurationAnswer.HostsRefused();
            case MARKED -> new ConfigurationAnswer.Marked(data.getMarked());
        };
    }
}
