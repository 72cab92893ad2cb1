package io.siskintrail.wire;

import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.generation.GenerationSpec;
import io.siskintrail.internal.generation.Outcome;
import io.siskintrail.internal.generation.OwnerEpoch;
import io.siskintrail.internal.generation.RequestRef;
import io.siskintrail.internal.generation.Segment;
import io.siskintrail.internal.generation.TokenRun;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.GenerationId;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.Rank;
import io.siskintrail.lib.ResultCode;
import io.siskintrail.wire.gen.buddy.TGenerationSpec;
import io.siskintrail.wire.gen.buddy.TOutcome;
import io.siskintrail.wire.gen.buddy.TOwnerEpoch;
import io.siskintrail.wire.gen.buddy.TSegment;
import io.siskintrail.wire.gen.buddy.TTokenRun;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Converts the values inside of buddy messages; null stays null. */
final class BuddyValues {
    private static final Map<Integer, ResultCode> CODES = new HashMap<>();

    static {
        for (ResultCode code : ResultCode.values()) {
            CODES.put(code.number(), code);
        }
    }

    private BuddyValues() {}

    static TOwnerEpoch write(OwnerEpoch epoch) {
        return epoch == null
                ? null
                : new TOwnerEpoch(epoch.number(), epoch.owner().value(), epoch.incarnation());
    }

    static OwnerEpoch read(TOwnerEpoch epoch) {
        return epoch == null
                ? null
                : new OwnerEpoch(
                        epoch.getNumber(), new HostId(epoch.getOwner()), epoch.getIncarnation());
    }

    static TTokenRun write(TokenRun run) {
        List<Integer> ids = new ArrayList<>(run.size());
        List<Integer> ends = new ArrayList<>(run.size());
        for (int i = 0; i < run.size(); i++) {
            ids.add(run.id(i));
            ends.add(run.end(i));
        }
        return new TTokenRun(ids, run.text(), ends);
    }

    static TokenRun read(TTokenRun run) {
        return TokenRun.of(ints(run.getIds()), run.getText(), ints(run.getEnds()));
    }

    static TOutcome write(Outcome outcome) {
        return outcome == null ? null : new TOutcome(outcome.code().number(), outcome.reason());
    }

    /** Returns INTERNAL for a code that only a newer version knows. */
    static Outcome read(TOutcome outcome) {
        return outcome == null
                ? null
                : new Outcome(
                        CODES.getOrDefault(outcome.getCode(), ResultCode.INTERNAL),
                        outcome.getReason());
    }

    static TGenerationSpec write(GenerationSpec spec) {
        return new TGenerationSpec(
                spec.id().value(),
                spec.model().model(),
                spec.model().adapter(),
                spec.model().version(),
                spec.rank() == Rank.URGENT,
                spec.seed(),
                spec.promptTokens(),
                spec.body());
    }

    static GenerationSpec read(TGenerationSpec spec, RequestRef ref, Fingerprint fingerprint) {
        return new GenerationSpec(
                new GenerationId(spec.getId()),
                ref,
                new ModelId(spec.getModel(), spec.getAdapter(), spec.getVersion()),
                spec.isUrgent() ? Rank.URGENT : Rank.BULK,
                spec.getSeed(),
                fingerprint,
                spec.getPromptTokens(),
                spec.getBody());
    }

    static List<TSegment> write(List<Segment> lineage) {
        return lineage.stream().map(s -> new TSegment(write(s.epoch()), s.start())).toList();
    }

    static List<Segment> read(List<TSegment> lineage) {
        return lineage.stream().map(s -> new Segment(read(s.getEpoch()), s.getStart())).toList();
    }

    static GenerationId generation(String value) {
        return value == null ? null : new GenerationId(value);
    }

    static EndpointId endpoint(String value) {
        return value == null ? null : new EndpointId(value);
    }

    private static int[] ints(List<Integer> values) {
        int[] array = new int[values.size()];
        for (int i = 0; i < array.length; i++) {
            array[i] = values.get(i);
        }
        return array;
    }
}
