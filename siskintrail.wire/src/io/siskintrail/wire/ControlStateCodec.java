package io.siskintrail.wire;

import io.siskintrail.internal.control.ControlAnswer;
import io.siskintrail.internal.control.ControlCommand;
import io.siskintrail.internal.control.ControlImage;
import io.siskintrail.wire.control.StateCodec;
import io.siskintrail.wire.gen.control.ControlImageData;
import io.siskintrail.wire.gen.control.SectionBodyData;
import io.siskintrail.wire.gen.control.SectionData;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;

/** Converts the control log by handing each section to its own codec. */
public final class ControlStateCodec
        implements StateCodec<ControlCommand, ControlAnswer, ControlImage> {
    private final ConfigurationCodec configuration = new ConfigurationCodec();
    private final LedgerCodec ledger = new LedgerCodec();

    @Override
    public byte[] encodeCommand(ControlCommand command) {
        if (command instanceof ControlCommand.ToLedger c) {
            return pack(SectionData.LEDGER, ledger.encodeCommand(c.command()));
        }
        ControlCommand.ToConfiguration c = (ControlCommand.ToConfiguration) command;
        return pack(SectionData.CONFIGURATION, configuration.encodeCommand(c.command()));
    }

    @Override
    public ControlCommand decodeCommand(byte[] bytes) {
        SectionBodyData data = decode(bytes, new SectionBodyData());
        return switch (data.getSection()) {
            case CONFIGURATION ->
                    new ControlCommand.ToConfiguration(configuration.decodeCommand(data.getBody()));
            case LEDGER -> new ControlCommand.ToLedger(ledger.decodeCommand(data.getBody()));
        };
    }

    @Override
    public byte[] encodeAnswer(ControlAnswer answer) {
        if (answer instanceof ControlAnswer.FromLedger a) {
            return pack(SectionData.LEDGER, ledger.encodeAnswer(a.answer()));
        }
        ControlAnswer.FromConfiguration a = (ControlAnswer.FromConfiguration) answer;
        return pack(SectionData.CONFIGURATION, configuration.encodeAnswer(a.answer()));
    }

    @Override
    public ControlAnswer decodeAnswer(byte[] bytes) {
        SectionBodyData data = decode(bytes, new SectionBodyData());
        return switch (data.getSection()) {
            case CONFIGURATION ->
                    new ControlAnswer.FromConfiguration(configuration.decodeAnswer(data.getBody()));
            case LEDGER -> new ControlAnswer.FromLedger(ledger.decodeAnswer(data.getBody()));
        };
    }

    @Override
    public byte[] encodeImage(ControlImage image) {
        return ThriftCodec.encode(
                new ControlImageData(
                        List.of(
                                body(
                                        SectionData.CONFIGURATION,
                                        configuration.encodeImage(image.configuration())),
                                body(SectionData.LEDGER, ledger.encodeImage(image.ledger())))));
    }

    @Override
    public ControlImage decodeImage(byte[] bytes) {
        ControlImageData data = decode(bytes, new ControlImageData());
        return new ControlImage(
                configuration.decodeImage(section(data, SectionData.CONFIGURATION)),
                ledger.decodeImage(section(data, SectionData.LEDGER)));
    }

    private static byte[] section(ControlImageData data, SectionData section) {
        return data.getSections().stream()
                .filter(s -> s.getSection() == section)
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("image lacks " + section))
                .getBody();
    }

    private static SectionBodyData body(SectionData section, byte[] bytes) {
        return new SectionBodyData(section, ByteBuffer.wrap(bytes));
    }

    private static byte[] pack(SectionData section, byte[] bytes) {
        return ThriftCodec.encode(body(section, bytes));
    }

    private static <T extends TBase<?, ?>> T decode(byte[] bytes, T empty) {
        try {
            return ThriftCodec.decode(bytes, empty);
        } catch (TException e) {
            throw new IllegalArgumentException("not a message of the control log", e);
        }
    }
}
