package io.siskintrail.control.internal.http;

import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.QueryValue;
import io.siskintrail.control.internal.configuration.ControlLog;
import io.siskintrail.internal.ledger.OrderRecord;
import io.siskintrail.internal.ledger.OrderState;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletionStage;

/** Shows the orders that this replica knows of. */
@Controller("/admin/orders")
final class OrdersController {
    private final ControlLog log;

    OrdersController(ControlLog log) {
        this.log = log;
    }

    /**
     * An order.
     *
     * @param service the plain service
     * @param account the client account
     * @param key its key
     * @param state how far it has come
     * @param endpoint where it was dispatched to; null while claimed
     * @param attempt the number of the last dispatch
     * @param host the router that holds it or held it last
     * @param untilMillis wall-clock time at which the state ends by itself
     */
    record Order(
            String service,
            String account,
            String key,
            String state,
            String endpoint,
            int attempt,
            String host,
            long untilMillis) {
        static Order of(OrderRecord r) {
            return new Order(
                    r.key().service().value(),
                    r.key().account().value(),
                    r.key().key().value(),
                    r.state().name().toLowerCase(Locale.ROOT),
                    r.endpoint() == null ? null : r.endpoint().value(),
                    r.attempt(),
                    r.claim().host().value(),
                    r.deadlineMillis());
        }
    }

    /** Returns orders in a state, or without one all that are not done. */
    @Get
    CompletionStage<List<Order>> list(
            @QueryValue(defaultValue = "") String state,
            @QueryValue(defaultValue = "100") int limit) {
        return log.orders()
                .thenApply(
                        records ->
                                records.stream()
                                        .filter(r -> matches(r, state))
                                        .limit(Math.max(0, limit))
                                        .map(Order::of)
                                        .toList());
    }

    private static boolean matches(OrderRecord r, String state) {
        return state.isEmpty()
                ? r.state() != OrderState.DONE
                : r.state().name().equalsIgnoreCase(state);
    }
}
