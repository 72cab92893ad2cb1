package io.siskintrail.bench.rules;

import io.siskintrail.control.ControlSettings;
import io.siskintrail.control.internal.configuration.ConfigurationService;
import io.siskintrail.control.internal.replica.ReplicatedControlLog;
import io.siskintrail.lib.HostInfo;
import java.nio.file.Path;
import java.util.List;

/** A control replica with its log on disk. */
final class ControlNode extends Node {
    private final Path folder;
    private final List<HostInfo> routers;
    private List<HostInfo> others = List.of();
    private ReplicatedControlLog log;
    private volatile ConfigurationService service;

    ControlNode(int number, Path folder, List<HostInfo> routers) {
        super("control", number);
        this.folder = folder;
        this.routers = routers;
    }

    void setOthers(List<HostInfo> value) {
        others = List.copyOf(value);
    }

    ConfigurationService service() {
        return service;
    }

    @Override
    void startService() {
        log = ReplicatedControlLog.open(settings(), transport(), loop());
        service = new ConfigurationService(log.client(), transport(), loop(), log::lease, routers);
    }

    private ControlSettings settings() {
        return new ControlSettings(
                id().value(),
                info().domain().value(),
                "127.0.0.1:0",
                info().peerAddress(),
                SHARED_KEY,
                folder.toString(),
                others.stream().map(ControlNode::peer).toList(),
                List.of(),
                List.of(),
                List.of());
    }

    private static ControlSettings.Peer peer(HostInfo host) {
        return new ControlSettings.Peer(
                host.id().value(), host.domain().value(), host.peerAddress());
    }

    @Override
    void runService() {
        log.start();
        service.start();
    }

    @Override
    void stopService() {
        service.stop();
        log.stop();
    }
}
