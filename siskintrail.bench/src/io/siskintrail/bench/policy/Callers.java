package io.siskintrail.bench.policy;

import io.siskintrail.internal.policy.PolicyEffect;

/** How callers take what happens to their requests; these ones never send again. */
class Callers {
    static final long MAX_WAIT_MILLIS = 60_000;

    final World world;

    Callers(World world) {
        this.world = world;
    }

    /** Sends a new request. */
    void arrived(Request request, Source source) {
        world.send(request, world.balance(source.routers()), null, MAX_WAIT_MILLIS);
    }

    /** Handles a refusal. */
    void refused(Call call, PolicyEffect.Refuse refusal) {
        call.request.refused = true;
    }

    /** Handles a complete answer. */
    void done(Call call) {}

    /** Handles the failure of the endpoint: the router continues the generation by itself. */
    void endpointFailed(Call call) {
        world.recover(call);
    }

    /** Handles the continuation of a call under a new ticket. */
    void continued(Call before, Call after) {}
}
