package io.siskintrail.wire;

import io.siskintrail.internal.ledger.LedgerAnswer;
import io.siskintrail.internal.ledger.LedgerCommand;
import io.siskintrail.internal.ledger.LedgerImage;
import io.siskintrail.internal.ledger.OrderRecord;
import io.siskintrail.internal.ledger.OrderState;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import io.siskintrail.wire.control.StateCodec;
import io.siskintrail.wire.gen.ledger.ClaimData;
import io.siskintrail.wire.gen.ledger.CompleteData;
import io.siskintrail.wire.gen.ledger.DispatchData;
import io.siskintrail.wire.gen.ledger.LedgerAnswerData;
import io.siskintrail.wire.gen.ledger.LedgerCommandData;
import io.siskintrail.wire.gen.ledger.LedgerImageData;
import io.siskintrail.wire.gen.ledger.MarkUnknownData;
import io.siskintrail.wire.gen.ledger.OrderRecordData;
import io.siskintrail.wire.gen.ledger.OrderStateData;
import io.siskintrail.wire.gen.ledger.PlainAnswerData;
import io.siskintrail.wire.gen.ledger.ReleaseData;
import io.siskintrail.wire.gen.ledger.RunningData;
import io.siskintrail.wire.gen.ledger.SettleHostData;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;

/** Converts commands, answers and images of the order ledger to Thrift and back. */
public final class LedgerCodec implements StateCodec<LedgerCommand, LedgerAnswer, LedgerImage> {

    @Override
    public byte[] encodeCommand(LedgerCommand command) {
        return ThriftCodec.encode(toData(command));
    }

    @Override
    public LedgerCommand decodeCommand(byte[] bytes) {
        return fromData(decode(bytes, new LedgerCommandData()));
    }

    @Override
    public byte[] encodeAnswer(LedgerAnswer answer) {
        return ThriftCodec.encode(toData(answer));
    }

    @Override
    public LedgerAnswer decodeAnswer(byte[] bytes) {
        return fromData(decode(bytes, new LedgerAnswerData()));
    }

    @Override
    public byte[] encodeImage(LedgerImage image) {
        return ThriftCodec.encode(
                new LedgerImageData(image.records().stream().map(LedgerCodec::toData).toList()));
    }

    @Override
    public LedgerImage decodeImage(byte[] bytes) {
        LedgerImageData data = decode(bytes, new LedgerImageData());
        return new LedgerImage(data.getRecords().stream().map(LedgerCodec::fromData).toList());
    }

    private static <T extends TBase<?, ?>> T decode(byte[] bytes, T empty) {
        try {
            return ThriftCodec.decode(bytes, empty);
        } catch (TException e) {
            throw new IllegalArgumentException("not a message of the ledger", e);
        }
    }

    private static LedgerCommandData toData(LedgerCommand command) {
        if (command instanceof LedgerCommand.Claim c) {
            return LedgerCommandData.claim(
                    new ClaimData(
                            LedgerValues.toData(c.key()),
                            LedgerValues.toData(c.claim()),
                            LedgerValues.toData(c.digest()),
                            c.retentionMillis()));
        }
        if (command instanceof LedgerCommand.Dispatch c) {
            return LedgerCommandData.dispatch(
                    new DispatchData(
                            LedgerValues.toData(c.key()),
                            LedgerValues.toData(c.claim()),
                            c.endpoint().value(),
                            c.attempt(),
                            c.answerMillis()));
        }
        if (command instanceof LedgerCommand.Complete c) {
            return LedgerCommandData.complete(
                    new CompleteData(
                            LedgerValues.toData(c.key()),
                            LedgerValues.toData(c.claim()),
                            c.attempt(),
                            LedgerValues.toData(c.answer())));
        }
        if (command instanceof LedgerCommand.MarkUnknown c) {
            return LedgerCommandData.markUnknown(
                    new MarkUnknownData(
                            LedgerValues.toData(c.key()),
                            LedgerValues.toData(c.claim()),
                            c.attempt()));
        }
        if (command instanceof LedgerCommand.Release c) {
            return LedgerCommandData.release(
                    new ReleaseData(
                            LedgerValues.toData(c.key()),
                            LedgerValues.toData(c.claim()),
                            c.attempt()));
        }
        LedgerCommand.SettleHost c = (LedgerCommand.SettleHost) command;
        return LedgerCommandData.settleHost(new SettleHostData(c.host().value(), c.currentBoot()));
    }

    private static LedgerCommand fromData(LedgerCommandData data) {
        return switch (data.getSetField()) {
            case CLAIM -> fromData(data.getClaim());
            case DISPATCH -> fromData(data.getDispatch());
            case COMPLETE -> fromData(data.getComplete());
            case MARK_UNKNOWN -> {
                MarkUnknownData d = data.getMarkUnknown();
                yield new LedgerCommand.MarkUnknown(
                        LedgerValues.fromData(d.getKey()),
                        LedgerValues.fromData(d.getClaim()),
                        d.getAttempt());
            }
            case RELEASE -> {
                ReleaseData d = data.getRelease();
                yield new LedgerCommand.Release(
                        LedgerValues.fromData(d.getKey()),
                        LedgerValues.fromData(d.getClaim()),
                        d.getAttempt());
            }
            case SETTLE_HOST -> {
                SettleHostData d = data.getSettleHost();
                yield new LedgerCommand.SettleHost(new HostId(d.getHost()), d.getCurrentBoot());
            }
        };
    }

    private static LedgerCommand fromData(ClaimData d) {
        return new LedgerCommand.Claim(
                LedgerValues.fromData(d.getKey()),
                LedgerValues.fromData(d.getClaim()),
                LedgerValues.digest(d.getDigest()),
                d.getRetentionMillis());
    }

    private static LedgerCommand fromData(DispatchData d) {
        return new LedgerCommand.Dispatch(
                LedgerValues.fromData(d.getKey()),
                LedgerValues.fromData(d.getClaim()),
                new EndpointId(d.getEndpoint()),
                d.getAttempt(),
                d.getAnswerMillis());
    }

    private static LedgerCommand fromData(CompleteData d) {
        return new LedgerCommand.Complete(
                LedgerValues.fromData(d.getKey()),
                LedgerValues.fromData(d.getClaim()),
                d.getAttempt(),
                LedgerValues.fromData(d.getAnswer()));
    }

    private static LedgerAnswerData toData(LedgerAnswer answer) {
        if (answer instanceof LedgerAnswer.Running r) {
            return LedgerAnswerData.running(
                    new RunningData(LedgerValues.toData(r.holder()), r.dispatched()));
        }
        if (answer instanceof LedgerAnswer.Done d) {
            return LedgerAnswerData.done(LedgerValues.toData(d.answer()));
        }
        if (answer instanceof LedgerAnswer.Dispatched d) {
            return LedgerAnswerData.dispatchedAttempt(d.attempt());
        }
        return LedgerAnswerData.plain(plain(answer));
    }

    private static PlainAnswerData plain(LedgerAnswer answer) {
        if (answer instanceof LedgerAnswer.Claimed) {
            return PlainAnswerData.CLAIMED;
        }
        if (answer instanceof LedgerAnswer.Unknown) {
            return PlainAnswerData.UNKNOWN;
        }
        if (answer instanceof LedgerAnswer.OtherContent) {
            return PlainAnswerData.OTHER_CONTENT;
        }
        if (answer instanceof LedgerAnswer.Full) {
            return PlainAnswerData.FULL;
        }
        return answer instanceof LedgerAnswer.Accepted
                ? PlainAnswerData.ACCEPTED
                : PlainAnswerData.REFUSED;
    }

    private static LedgerAnswer fromData(LedgerAnswerData data) {
        return switch (data.getSetField()) {
            case PLAIN -> fromData(data.getPlain());
            case RUNNING ->
                    new LedgerAnswer.Running(
                            LedgerValues.fromData(data.getRunning().getHolder()),
                            data.getRunning().isDispatched());
            case DONE -> new LedgerAnswer.Done(LedgerValues.fromData(data.getDone()));
            case DISPATCHED_ATTEMPT -> new LedgerAnswer.Dispatched(data.getDispatchedAttempt());
        };
    }

    private static LedgerAnswer fromData(PlainAnswerData plain) {
        return switch (plain) {
            case CLAIMED -> new LedgerAnswer.Claimed();
            case UNKNOWN -> new LedgerAnswer.Unknown();
            case OTHER_CONTENT -> new LedgerAnswer.OtherContent();
            case FULL -> new LedgerAnswer.Full();
            case ACCEPTED -> new LedgerAnswer.Accepted();
            case REFUSED -> new LedgerAnswer.Refused();
        };
    }

    private static OrderRecordData toData(OrderRecord r) {
        OrderRecordData data =
                new OrderRecordData(
                        LedgerValues.toData(r.key()),
                        LedgerValues.toData(r.claim()),
                        LedgerValues.toData(r.digest()),
                        OrderStateData.valueOf(r.state().name()),
                        r.attempt(),
                        r.retentionMillis(),
                        r.deadlineMillis());
        if (r.endpoint() != null) {
            data.setEndpoint(r.endpoint().value());
        }
        if (r.answer() != null) {
            data.setAnswer(LedgerValues.toData(r.answer()));
        }
        return data;
    }

    private static OrderRecord fromData(OrderRecordData d) {
        return new OrderRecord(
                LedgerValues.fromData(d.getKey()),
                LedgerValues.fromData(d.getClaim()),
                LedgerValues.digest(d.getDigest()),
                OrderState.valueOf(d.getState().name()),
                d.isSetEndpoint() ? new EndpointId(d.getEndpoint()) : null,
                d.getAttempt(),
                d.isSetAnswer() ? LedgerValues.fromData(d.getAnswer()) : null,
                d.getRetentionMillis(),
                d.getDeadlineMillis());
    }
}
