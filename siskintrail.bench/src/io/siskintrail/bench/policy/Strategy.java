package io.siskintrail.bench.policy;

import io.siskintrail.internal.policy.Dispatcher;
import io.siskintrail.internal.policy.PolicyEffect;
import io.siskintrail.internal.policy.PolicyInput;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.StateMachine;
import java.util.List;

/** Ours and the baselines that it is measured against. */
enum Strategy {
    /** The dispatchers of the product, all together. */
    OURS {
        @Override
        StateMachine<PolicyInput, PolicyEffect> router(World world, int index, HostId id) {
            return new Dispatcher(id, 1, world.rules);
        }
    },
    /** The dispatchers of the product with fixed slots each and no exchange. */
    ALONE {
        @Override
        StateMachine<PolicyInput, PolicyEffect> router(World world, int index, HostId id) {
            return new Dispatcher(id, 1, world.rules);
        }

        @Override
        boolean isAlone() {
            return true;
        }

        @Override
        int slots(World.Shape shape, int router, int engine) {
            int extra = shape.slots() % shape.routers();
            boolean takesExtra = (router + engine) % shape.routers() < extra;
            return shape.slots() / shape.routers() + (takesExtra ? 1 : 0);
        }
    },
    /** The next endpoint in turn, at once. */
    ROUND_ROBIN {
        @Override
        StateMachine<PolicyInput, PolicyEffect> router(World world, int index, HostId id) {
            return new Baseline(index, false);
        }
    },
    /**
     * The least loaded endpoint that the router knows of, at once; its queue is served in order.
     */
    FCFS {
        @Override
        StateMachine<PolicyInput, PolicyEffect> router(World world, int index, HostId id) {
            return new Baseline(index, true);
        }
    },
    /** The endpoint with the most of the prompt cached, known without lag. */
    ORACLE {
        @Override
        StateMachine<PolicyInput, PolicyEffect> router(World world, int index, HostId id) {
            return new Oracle(world);
        }
    };

    /** Those that a router without perfect knowledge can follow. */
    static final List<Strategy> COMMON = List.of(OURS, ALONE, ROUND_ROBIN, FCFS);

    /** Returns the state machine of one router. */
    abstract StateMachine<PolicyInput, PolicyEffect> router(World world, int index, HostId id);

    boolean isAlone() {
        return false;
    }

    int slots(World.Shape shape, int router, int engine) {
        return shape.slots();
    }
}
