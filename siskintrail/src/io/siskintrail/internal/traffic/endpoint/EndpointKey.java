package io.siskintrail.internal.traffic.endpoint;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.ServiceName;

/**
 * What the records of endpoints are filed by.
 *
 * @param id the id that the endpoint reported
 * @param service the service that it reported
 */
public record EndpointKey(EndpointId id, ServiceName service) {

    /** Returns the key of {@code record}. */
    public static EndpointKey of(EndpointRecord record) {
        return new EndpointKey(record.id(), record.service());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof EndpointKey key && id.equals(key.id) && service.equals(key.service);
    }

    @Override
    public int hashCode() {
        return 31 * id.hashCode() + service.hashCode();
    }
}
