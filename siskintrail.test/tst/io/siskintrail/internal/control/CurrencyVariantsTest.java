package io.siskintrail.internal.control;

import static com.google.common.truth.Truth.assertWithMessage;

import io.siskintrail.lib.HostId;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Breaks one promise of the protocol at a time and requires the oracle to notice. */
class CurrencyVariantsTest {
    private static final int ACTIONS = 100;
    private static final int MAX_RUNS = 1_500;

    private static CurrencyFuzz.Parts follower(
            Function<FollowerSettings, ConfigurationFollower> broken) {
        return new CurrencyFuzz.Parts(broken, ConfigurationPublisher::new, ConfigurationState::new);
    }

    private static class ServesStale extends ConfigurationFollower {
        private final HostId self;

        ServesStale(FollowerSettings settings) {
            super(settings);
            self = settings.self();
        }

        @Override
        public boolean mayTakeWork(long nowMillis) {
            return counted() && applied().admits(self);
        }
    }

    private static class AppliesOlder extends ConfigurationFollower {
        AppliesOlder(FollowerSettings settings) {
            super(settings);
        }

        @Override
        boolean replaces(Configuration offered) {
            return offered.version() != applied().version();
        }
    }

    private static class DatesFromAnswer extends ConfigurationFollower {
        DatesFromAnswer(FollowerSettings settings) {
            super(settings);
        }

        @Override
        long confirmationTime(long askedMillis, long answeredMillis) {
            return answeredMillis;
        }
    }

    private static class CountsRestarted extends ConfigurationFollower {
        CountsRestarted(FollowerSettings settings) {
            super(settings);
        }

        @Override
        boolean counts(FollowerInput.PeerAnswer answer) {
            return true;
        }
    }

    private static class CountsMinority extends ConfigurationFollower {
        CountsMinority(FollowerSettings settings) {
            super(settings);
        }

        @Override
        int quorum(int hosts) {
            return hosts / 2;
        }
    }

    private static class IgnoresLease extends ConfigurationPublisher {
        private boolean led;

        @Override
        boolean holdsLease(long nowMillis) {
            led |= super.holdsLease(nowMillis);
            return led;
        }
    }

    private static class MarksMinority extends ConfigurationPublisher {
        @Override
        long onMajority() {
            return acknowledged().values().stream().mapToLong(v -> v).max().orElse(0);
        }
    }

    private static class LastEditWins extends ConfigurationState {
        @Override
        ConfigurationAnswer answerOldNumber(ConfigurationCommand.ApplyRules c) {
            return new ConfigurationAnswer.RulesApplied(c.baseNumber() + 1, current().version());
        }
    }

    private static class ForgetsAnswers extends ConfigurationState {
        @Override
        ConfigurationAnswer answerOldNumber(ConfigurationCommand.ApplyRules c) {
            return new ConfigurationAnswer.NumberTaken(
                    edit(c.baseNumber() + 1), current().rulesNumber());
        }
    }

    static Stream<Named<CurrencyFuzz.Parts>> variants() {
        return Stream.of(
                Named.of("serves stale rules", follower(ServesStale::new)),
                Named.of("applies older versions", follower(AppliesOlder::new)),
                Named.of("dates from the answer", follower(DatesFromAnswer::new)),
                Named.of("counts restarted hosts", follower(CountsRestarted::new)),
                Named.of("half of the hosts is enough", follower(CountsMinority::new)),
                Named.of("ignores the lease", publisher(IgnoresLease::new)),
                Named.of("marks what one host has", publisher(MarksMinority::new)),
                Named.of("accepts both racing edits", state(LastEditWins::new)),
                Named.of("refuses repeated edits", state(ForgetsAnswers::new)));
    }

    private static CurrencyFuzz.Parts publisher(Supplier<ConfigurationPublisher> broken) {
        return new CurrencyFuzz.Parts(ConfigurationFollower::new, broken, ConfigurationState::new);
    }

    private static CurrencyFuzz.Parts state(Supplier<ConfigurationState> broken) {
        return new CurrencyFuzz.Parts(
                ConfigurationFollower::new, ConfigurationPublisher::new, broken);
    }

    @ParameterizedTest
    @MethodSource("variants")
    void isCaught(CurrencyFuzz.Parts broken) {
        assertWithMessage("run that breaks the oracle").that(firstViolation(broken)).isNotEmpty();
    }

    private static String firstViolation(CurrencyFuzz.Parts parts) {
        for (long seed = 1; seed <= MAX_RUNS; seed++) {
            try {
                CurrencyFuzzTest.RandomRun.of(parts, seed, ACTIONS);
            } catch (CurrencyOracle.Violation e) {
                System.out.printf("fuzz=currency seed=%d violation=\"%s\"%n", seed, e.getMessage());
                return e.getMessage();
            }
        }
        return "";
    }
}
