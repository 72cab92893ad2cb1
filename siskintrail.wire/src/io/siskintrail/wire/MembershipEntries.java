package io.siskintrail.wire;

import io.siskintrail.internal.membership.EndpointEntry;
import io.siskintrail.internal.membership.HostEntry;
import io.siskintrail.internal.membership.HostState;
import io.siskintrail.internal.membership.MemberEntry;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.EndpointKind;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.wire.gen.membership.EndpointEntryData;
import io.siskintrail.wire.gen.membership.EndpointKindData;
import io.siskintrail.wire.gen.membership.EntriesData;
import io.siskintrail.wire.gen.membership.HostEntryData;
import io.siskintrail.wire.gen.membership.HostStateData;
import io.siskintrail.wire.gen.membership.ModelData;
import java.util.ArrayList;
import java.util.List;

/** Converts the entries of hosts and endpoints that gossip carries. */
final class MembershipEntries {

    private MembershipEntries() {}

    static EntriesData toData(List<MemberEntry> entries) {
        EntriesData data = new EntriesData();
        for (MemberEntry entry : entries) {
            if (entry instanceof HostEntry h) {
                data.addToHosts(
                        new HostEntryData(
                                h.id().value(),
                                h.incarnation(),
                                HostStateData.valueOf(h.state().name())));
            } else {
                data.addToEndpoints(toData((EndpointEntry) entry));
            }
        }
        return data;
    }

    static List<MemberEntry> fromData(EntriesData data) {
        List<MemberEntry> entries = new ArrayList<>();
        if (data.isSetHosts()) {
            for (HostEntryData h : data.getHosts()) {
                entries.add(
                        new HostEntry(
                                new HostId(h.getId()),
                                h.getIncarnation(),
                                HostState.valueOf(h.getState().name())));
            }
        }
        if (data.isSetEndpoints()) {
            data.getEndpoints().forEach(e -> entries.add(fromData(e)));
        }
        return entries;
    }

    private static EndpointEntryData toData(EndpointEntry entry) {
        EndpointInfo i = entry.info();
        EndpointEntryData data =
                new EndpointEntryData()
                        .setId(i.id().value())
                        .setAddress(i.address())
                        .setKind(EndpointKindData.valueOf(i.kind().name()))
                        .setDomain(i.domain().value())
                        .setSlots(i.slots())
                        .setChecksFencing(i.checksFencing())
                        .setIncarnation(i.incarnation())
                        .setLeaving(i.leaving())
                        .setHome(entry.home().value())
                        .setTerm(entry.term())
                        .setGone(entry.gone());
        i.models().forEach(m -> data.addToModels(toData(m)));
        i.services().forEach(s -> data.addToServices(s.value()));
        return data;
    }

    private static ModelData toData(ModelId model) {
        ModelData data = new ModelData().setModel(model.model()).setVersion(model.version());
        if (!model.adapter().isEmpty()) {
            data.setAdapter(model.adapter());
        }
        return data;
    }

    private static EndpointEntry fromData(EndpointEntryData d) {
        EndpointInfo info =
                new EndpointInfo(
                        new EndpointId(d.getId()),
                        d.getAddress(),
                        EndpointKind.valueOf(d.getKind().name()),
                        new FailureDomain(d.getDomain()),
                        d.isSetModels()
                                ? d.getModels().stream().map(MembershipEntries::fromData).toList()
                                : List.of(),
                        d.isSetServices()
                                ? d.getServices().stream().map(ServiceName::new).toList()
                                : List.of(),
                        d.getSlots(),
                        d.isChecksFencing(),
                        d.getIncarnation(),
                        d.isLeaving());
        return new EndpointEntry(info, new HostId(d.getHome()), d.getTerm(), d.isGone());
    }

    private static ModelId fromData(ModelData d) {
        return new ModelId(d.getModel(), d.isSetAdapter() ? d.getAdapter() : "", d.getVersion());
    }
}
