package io.siskintrail.wire;

import io.siskintrail.internal.control.Configuration;
import io.siskintrail.internal.control.RulesEdit;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.wire.gen.control.ConfigurationData;
import io.siskintrail.wire.gen.control.HostInfoData;
import io.siskintrail.wire.gen.control.RulesEditData;
import java.util.List;

/** Converts the values that several messages of the configuration share. */
final class ConfigurationValues {

    private ConfigurationValues() {}

    static HostInfoData toData(HostInfo host) {
        return new HostInfoData(host.id().value(), host.domain().value(), host.peerAddress());
    }

    static HostInfo fromData(HostInfoData d) {
        return new HostInfo(
                new HostId(d.getId()), new FailureDomain(d.getDomain()), d.getPeerAddress());
    }

    static List<HostInfoData> toData(List<HostInfo> hosts) {
        return hosts.stream().map(ConfigurationValues::toData).toList();
    }

    static List<HostInfo> fromData(List<HostInfoData> hosts) {
        return hosts.stream().map(ConfigurationValues::fromData).toList();
    }

    static ConfigurationData toData(Configuration c) {
        return new ConfigurationData(
                c.version(),
                c.rulesNumber(),
                DeflatedText.pack(c.rulesText()),
                c.operator(),
                c.rulesAtMillis(),
                toData(c.hosts()),
                c.draining().stream().map(HostId::value).toList());
    }

    static Configuration fromData(ConfigurationData d) {
        return new Configuration(
                d.getVersion(),
                d.getRulesNumber(),
                DeflatedText.unpack(d.getRulesDeflated()),
                d.getByOperator(),
                d.getRulesAtMillis(),
                fromData(d.getHosts()),
                d.getDraining().stream().map(HostId::new).toList());
    }

    static RulesEditData toData(RulesEdit e) {
        return new RulesEditData(
                e.number(),
                e.version(),
                e.operator(),
                e.atMillis(),
                e.digest(),
                e.added(),
                e.removed(),
                e.truncated());
    }

    static RulesEdit fromData(RulesEditData d) {
        return new RulesEdit(
                d.getNumber(),
                d.getVersion(),
                d.getByOperator(),
                d.getAtMillis(),
                d.getDigest(),
                d.getAdded(),
                d.getRemoved(),
                d.isTruncated());
    }
}
