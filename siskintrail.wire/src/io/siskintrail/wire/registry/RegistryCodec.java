package io.siskintrail.wire.registry;

import io.siskintrail.internal.traffic.endpoint.EndpointAddress;
import io.siskintrail.internal.traffic.endpoint.EndpointRecord;
import io.siskintrail.internal.traffic.endpoint.EndpointState;
import io.siskintrail.internal.traffic.endpoint.PlacedLoad;
import io.siskintrail.internal.traffic.placement.PrefilledPrompt;
import io.siskintrail.internal.traffic.placement.PromptId;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointVersion;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.wire.DeflatedText;
import io.siskintrail.wire.ThriftCodec;
import io.siskintrail.wire.gen.registry.AllLoadsData;
import io.siskintrail.wire.gen.registry.CommandData;
import io.siskintrail.wire.gen.registry.ContentData;
import io.siskintrail.wire.gen.registry.DrainingData;
import io.siskintrail.wire.gen.registry.EndpointRecordData;
import io.siskintrail.wire.gen.registry.EndpointRecordsData;
import io.siskintrail.wire.gen.registry.LoadData;
import io.siskintrail.wire.gen.registry.LoadsData;
import io.siskintrail.wire.gen.registry.ReadPromptData;
import io.siskintrail.wire.gen.registry.RegistryBody;
import io.siskintrail.wire.gen.registry.ReplyData;
import io.siskintrail.wire.gen.registry.StatusData;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.apache.thrift.TException;

/** Converts {@link RegistryMessage}s to bytes and back. */
public final class RegistryCodec {

    private RegistryCodec() {}

    /** Returns the bytes of {@code message}. */
    public static byte[] encode(RegistryMessage message) {
        return ThriftCodec.encode(body(message));
    }

    /**
     * Returns the message in {@code bytes}.
     *
     * @throws IllegalArgumentException when there is none
     */
    public static RegistryMessage decode(byte[] bytes) {
        try {
            return message(ThriftCodec.decode(bytes, new RegistryBody()));
        } catch (TException e) {
            throw new IllegalArgumentException("not a registry message", e);
        }
    }

    private static RegistryBody body(RegistryMessage message) {
        if (message instanceof RegistryMessage.Endpoints e) {
            return RegistryBody.endpoints(
                    new EndpointRecordsData(
                            e.records().stream().map(RegistryCodec::data).toList()));
        }
        if (message instanceof RegistryMessage.Status s) {
            List<String> hosts = s.registries().stream().map(HostId::value).toList();
            StatusData data = new StatusData(s.version(), s.current(), hosts, s.edges());
            if (!s.rollouts().isEmpty()) {
                data.setRollouts(RolloutCodec.listData(s.rollouts()));
            }
            return RegistryBody.status(data);
        }
        if (message instanceof RegistryMessage.FetchAbove f) {
            return RegistryBody.fetchAbove(f.version());
        }
        if (message instanceof RegistryMessage.Content c) {
            String text = new String(c.content(), StandardCharsets.UTF_8);
            return RegistryBody.content(new ContentData(c.version(), DeflatedText.pack(text)));
        }
        if (message instanceof RegistryMessage.Propose p) {
            return RegistryBody.propose(new CommandData(p.token(), ByteBuffer.wrap(p.command())));
        }
        if (message instanceof RegistryMessage.Proposed p) {
            return RegistryBody.proposed(new ReplyData(p.token(), p.index()));
        }
        if (message instanceof RegistryMessage.Read r) {
            return RegistryBody.read(r.token());
        }
        if (message instanceof RegistryMessage.ReadAt r) {
            return RegistryBody.readAt(new ReplyData(r.token(), r.index()));
        }
        if (message instanceof RegistryMessage.Death d) {
            return RegistryBody.death(CrashCodec.death(d));
        }
        if (message instanceof RegistryMessage.Refusal r) {
            return RegistryBody.refusal(CrashCodec.refusal(r));
        }
        if (message instanceof RegistryMessage.Sound w) {
            return RegistryBody.sound(CrashCodec.sound(w));
        }
        if (message instanceof RegistryMessage.Draining d) {
            return RegistryBody.draining(new DrainingData(d.host().value(), d.millis()));
        }
        RegistryMessage.Loads loads = (RegistryMessage.Loads) message;
        return RegistryBody.loads(
                new AllLoadsData(loads.hosts().stream().map(RegistryCodec::data).toList()));
    }

    private static RegistryMessage message(RegistryBody body) {
        if (body.getSetField() == null) {
            throw new IllegalArgumentException("empty registry message");
        }
        return switch (body.getSetField()) {
            case ENDPOINTS ->
                    new RegistryMessage.Endpoints(
                            body.getEndpoints().getRecords().stream()
                                    .map(RegistryCodec::readRecord)
                                    .flatMap(Optional::stream)
                                    .toList());
            case STATUS -> status(body.getStatus());
            case FETCH_ABOVE -> new RegistryMessage.FetchAbove(body.getFetchAbove());
            case CONTENT ->
                    new RegistryMessage.Content(
                            body.getContent().getVersion(),
                            DeflatedText.unpack(body.getContent().getContent())
                                    .getBytes(StandardCharsets.UTF_8));
            case PROPOSE ->
                    new RegistryMessage.Propose(
                            body.getPropose().getToken(), body.getPropose().getCommand());
            case PROPOSED ->
                    new RegistryMessage.Proposed(
                            body.getProposed().getToken(), body.getProposed().getIndex());
            case READ -> new RegistryMessage.Read(body.getRead());
            case READ_AT ->
                    new RegistryMessage.ReadAt(
                            body.getReadAt().getToken(), body.getReadAt().getIndex());
            case DEATH -> CrashCodec.death(body.getDeath());
            case REFUSAL -> CrashCodec.refusal(body.getRefusal());
            case SOUND -> CrashCodec.sound(body.getSound());
            case DRAINING ->
                    new RegistryMessage.Draining(
                            new HostId(body.getDraining().getHost()),
                            body.getDraining().getMillis());
            case LOADS ->
                    new RegistryMessage.Loads(
                            body.getLoads().getHosts().stream()
                                    .map(RegistryCodec::hostLoads)
                                    .toList());
        };
    }

    private static RegistryMessage.Status status(StatusData data) {
        return new RegistryMessage.Status(
                data.getVersion(),
                data.isCurrent(),
                data.getRegistries().stream().map(HostId::new).toList(),
                data.getEdges(),
                data.isSetRollouts() ? RolloutCodec.readRollouts(data.getRollouts()) : List.of());
    }

    private static EndpointRecordData data(EndpointRecord r) {
        EndpointRecordData data =
                new EndpointRecordData(
                        r.id().value(),
                        r.incarnation(),
                        r.sequence(),
                        r.service().value(),
                        r.address(),
                        r.domain().value(),
                        r.slots(),
                        r.coldMillis(),
                        r.state().ordinal());
        if (!r.version().isNone()) {
            data.setVersion(r.version().value());
        }
        return data;
    }

    /** Returns the record, empty if it names no endpoint to use; the others of its message hold. */
    private static Optional<EndpointRecord> readRecord(EndpointRecordData d) {
        try {
            return Optional.of(record(d));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static EndpointRecord record(EndpointRecordData d) {
        EndpointState[] states = EndpointState.values();
        if (d.getState() < 0 || d.getState() >= states.length) {
            throw new IllegalArgumentException("unknown endpoint state " + d.getState());
        }
        if (d.getSlots() < 0) {
            throw new IllegalArgumentException("negative number of slots " + d.getSlots());
        }
        EndpointAddress.validate(d.getAddress());
        return new EndpointRecord(
                new EndpointId(d.getId()),
                d.getIncarnation(),
                d.getSequence(),
                new ServiceName(d.getServiceName()),
                d.getAddress(),
                new FailureDomain(d.getDomain()),
                d.getSlots(),
                d.getColdMillis(),
                states[d.getState()],
                d.isSetVersion() ? new EndpointVersion(d.getVersion()) : EndpointVersion.NONE);
    }

    private static LoadsData data(RegistryMessage.HostLoads h) {
        List<LoadData> loads =
                h.loads().stream()
                        .map(
                                l ->
                                        new LoadData(
                                                l.endpoint().value(),
                                                l.running(),
                                                l.tokens(),
                                                (int) l.prefillMillis()))
                        .toList();
        LoadsData data = new LoadsData(h.host().value(), loads);
        if (h.complete()) {
            data.setComplete(true);
        }
        if (!h.prompts().isEmpty()) {
            data.setPrompts(h.prompts().stream().map(RegistryCodec::data).toList());
        }
        h.waiting().ifPresent(w -> data.setWaiting(LoadReportCodec.waitingData(w)));
        if (!h.speeds().isEmpty()) {
            data.setSpeeds(LoadReportCodec.speedData(h.speeds()));
        }
        if (!h.retries().isEmpty()) {
            data.setRetries(LoadReportCodec.retryData(h.retries()));
        }
        return data;
    }

    private static ReadPromptData data(PrefilledPrompt p) {
        return new ReadPromptData(p.prompt().value(), p.endpoint().value());
    }

    private static PrefilledPrompt readPrompt(ReadPromptData d) {
        return new PrefilledPrompt(new PromptId(d.getPrompt()), new EndpointId(d.getEndpoint()));
    }

    private static RegistryMessage.HostLoads hostLoads(LoadsData d) {
        List<PlacedLoad> loads =
                d.getLoads().stream()
                        .map(
                                l ->
                                        new PlacedLoad(
                                                new EndpointId(l.getEndpoint()),
                                                l.getRunning(),
                                                l.getTokens(),
                                                l.getPrefillMillis()))
                        .toList();
        List<PrefilledPrompt> prompts =
                d.isSetPrompts()
                        ? d.getPrompts().stream().map(RegistryCodec::readPrompt).toList()
                        : List.of();
        return new RegistryMessage.HostLoads(
                new HostId(d.getHost()),
                d.isComplete(),
                loads,
                prompts,
                Optional.ofNullable(d.getWaiting()).map(LoadReportCodec::waiting),
                d.isSetSpeeds() ? LoadReportCodec.speeds(d.getSpeeds()) : List.of(),
                d.isSetRetries() ? LoadReportCodec.retries(d.getRetries()) : List.of());
    }
}
