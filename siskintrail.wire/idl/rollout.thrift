/** Rollouts in the replicated log of the registries and in its snapshots. */
namespace java io.siskintrail.wire.gen.rollout

struct RolloutData {
  1: required string serviceName,
  2: required i64 number,
  3: required string version,
  4: required i64 durationMillis,
  5: required i64 orderedUnixMillis,
  /** Index of the status. */
  6: required i32 status
}

struct RolloutEndData {
  1: required string serviceName,
  2: required i64 number,
  /** Index of the status. */
  3: required i32 status
}

union RolloutCommandData {
  1: RolloutData start,
  2: RolloutEndData finish
}

struct RolloutListData {
  1: required list<RolloutData> rollouts
}

/** A snapshot of a log that has rollouts. */
struct RegistryImageData {
  /** The command that set the configuration. */
  1: required binary configuration,
  2: required list<RolloutData> rollouts
}
