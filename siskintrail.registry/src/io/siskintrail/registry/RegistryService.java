package io.siskintrail.registry;

import io.siskintrail.net.EventLoop;
import io.siskintrail.registry.internal.Registry;
import io.siskintrail.service.Reloadable;
import io.siskintrail.service.Service;

/** A registry process: opens its disk, its links and its calls. */
public final class RegistryService implements Service, Reloadable<RegistrySettings> {
    private final EventLoop loop = new EventLoop("registry");
    private final Registry registry;

    /**
     * Prepares the service.
     *
     * @param settings the checked settings
     * @param protocol reads calls in the form of the platform
     */
    public RegistryService(RegistrySettings settings, RegistryProtocol protocol) {
        registry = new Registry(loop, settings, protocol);
    }

    @Override
    public void start() {
        registry.start();
    }

    @Override
    public void reload(RegistrySettings settings) {
        registry.reload(settings);
    }

    @Override
    public void stop() {
        registry.stop();
        loop.stop();
        registry.closeDisk();
    }
}
