package io.siskintrail.internal.policy;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.EndpointKind;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.Rank;
import io.siskintrail.lib.RequestKey;
import java.util.List;

/** Creates requests and endpoints for tests. */
final class Requests {
    static final ModelId MODEL = new ModelId("quoting", "", "v1");

    private Requests() {}

    static WorkRequest request(long ticket, String account, Rank rank) {
        return request(ticket, account, rank, null);
    }

    static WorkRequest request(long ticket, String account, Rank rank, String key) {
        return request(ticket, account, rank, key, 60_000);
    }

    static WorkRequest request(
            long ticket, String account, Rank rank, String key, long maxWaitMillis) {
        return new WorkRequest(
                ticket,
                new AccountId(account),
                rank,
                Target.of(MODEL),
                key == null ? null : new RequestKey(key),
                0,
                100,
                100,
                maxWaitMillis,
                new long[0],
                false);
    }

    static EndpointInfo engine(String id, int slots) {
        return engine(id, slots, MODEL);
    }

    static EndpointInfo engine(String id, int slots, ModelId model) {
        return new EndpointInfo(
                new EndpointId(id),
                "127.0.0.1:1",
                EndpointKind.ENGINE,
                new FailureDomain("marka"),
                List.of(model),
                List.of(),
                slots,
                true,
                1,
                false);
    }
}
