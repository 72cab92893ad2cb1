package io.siskintrail.router.internal.endpoint;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointInfo;
import io.siskintrail.lib.EndpointKind;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.ModelId;
import io.siskintrail.lib.ServiceName;
import java.util.List;

/**
 * The JSON form of what an endpoint announces; see {@link EndpointInfo} for the fields. Fields that
 * are not known are ignored, so that endpoints can be newer than routers.
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record Announcement(
        String id,
        String address,
        EndpointKind kind,
        String domain,
        List<Model> models,
        List<String> services,
        int slots,
        boolean checksFencing,
        long incarnation,
        boolean leaving,
        String stamp) {

    /** The JSON form of a {@link ModelId}; the adapter may be absent. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Model(String model, String adapter, String version) {

        ModelId id() {
            return new ModelId(model, adapter == null ? "" : adapter, version);
        }
    }

    /**
     * Returns the checked form.
     *
     * @throws IllegalArgumentException when a field is missing or out of range
     */
    public EndpointInfo toInfo() {
        if (address == null || kind == null) {
            throw new IllegalArgumentException("address and kind are required");
        }
        return new EndpointInfo(
                new EndpointId(id),
                address,
                kind,
                new FailureDomain(domain),
                models == null ? List.of() : models.stream().map(Model::id).toList(),
                services == null ? List.of() : services.stream().map(ServiceName::new).toList(),
                slots,
                checksFencing,
                incarnation,
                leaving);
    }
}
