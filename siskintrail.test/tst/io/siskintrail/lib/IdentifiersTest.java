package io.siskintrail.lib;

import static com.google.common.truth.Truth.assertThat;

import io.siskintrail.internal.consensus.ReplicaId;
import io.siskintrail.internal.generation.Fingerprint;
import io.siskintrail.internal.traffic.placement.PromptId;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks that identifiers are equal only if their type and all their components are equal, and that
 * different identifiers rarely have the same hash code.
 */
class IdentifiersTest {
    static Stream<Function<String, Object>> identifierFactories() {
        return Stream.of(
                AccountId::new,
                EndpointId::new,
                HostId::new,
                ServiceName::new,
                FailureDomain::new,
                PromptId::new,
                text -> new Fingerprint(text.hashCode(), 1),
                text -> new Fingerprint(1, text.hashCode()),
                text -> new ReplicaId(new HostId(text), 1),
                text -> new ReplicaId(new HostId("h"), text.hashCode()));
    }

    @ParameterizedTest
    @MethodSource("identifierFactories")
    void equalsComparesTypeAndValue(Function<String, Object> factory) {
        Object id = factory.apply("a");

        assertThat(id).isEqualTo(factory.apply("a"));
        assertThat(id.hashCode()).isEqualTo(factory.apply("a").hashCode());
        assertThat(id).isNotEqualTo(factory.apply("b"));
        assertThat(id).isNotEqualTo("a");
        assertThat(id).isNotEqualTo(null);
    }

    @ParameterizedTest
    @MethodSource("identifierFactories")
    void atLeastNineTenthsOfHashCodesAreDistinct(Function<String, Object> factory) {
        int idCount = 1_000;
        Set<Integer> distinctHashCodes = new HashSet<>();
        for (int i = 0; i < idCount; i++) {
            distinctHashCodes.add(factory.apply("id-" + i).hashCode());
        }

        assertThat(distinctHashCodes.size()).isAtLeast(idCount * 9 / 10);
    }
}
