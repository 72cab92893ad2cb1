package io.siskintrail.bench.policy;

import io.siskintrail.internal.policy.PolicyEffect;
import io.siskintrail.internal.policy.PolicyInput;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.StateMachine;
import java.util.HashMap;
import java.util.Map;

/** One router. */
final class Node {
    final HostId id;
    final StateMachine<PolicyInput, PolicyEffect> machine;
    final Map<Long, Call> calls = new HashMap<>();
    boolean up = true;

    Node(HostId id, StateMachine<PolicyInput, PolicyEffect> machine) {
        this.id = id;
        this.machine = machine;
    }
}
