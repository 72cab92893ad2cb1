package io.siskintrail.bench.rules;

import io.siskintrail.internal.control.FollowerSettings;
import io.siskintrail.lib.HostId;
import io.siskintrail.router.internal.rules.RulesFollower;
import java.util.List;

/** The part of a router that follows the rules. */
final class RouterNode extends Node {
    private final List<HostId> controls;
    private volatile RulesFollower follower;

    RouterNode(int number, List<HostId> controls) {
        super("router", number);
        this.controls = controls;
    }

    RulesFollower follower() {
        return follower;
    }

    @Override
    void startService() {
        follower =
                new RulesFollower(
                        FollowerSettings.of(id(), controls, System.nanoTime()),
                        transport(),
                        loop());
    }

    @Override
    void runService() {
        follower.start();
    }

    @Override
    void stopService() {
        follower.stop();
    }
}
