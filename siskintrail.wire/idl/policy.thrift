/** Shares of work between routers: usage of accounts and leases of slots. */
namespace java io.siskintrail.wire.gen.policy

enum RankData {
  URGENT = 1,
  BULK = 2
}

/** One account's use of the sender since it started. */
struct UsageEntryData {
  1: required string account,
  2: required RankData rank,
  3: required double served,
  4: required i64 requests,
  5: required i32 inFlight,
  6: required i32 waiting
}

struct UsageData {
  1: required i64 incarnation,
  2: required i64 sequence,
  3: required list<UsageEntryData> entries
}

struct HeldSlotsData {
  1: required string endpoint,
  2: required i32 granted,
  3: required i32 urgent,
  4: required i32 bulk
}

struct WaitingWorkData {
  1: required RankData rank,
  2: required string account,
  3: required string target,
  4: required i32 count,
  /** Absent when any endpoint suits. */
  5: optional string preferred
}

/** Numbers of generations that may be, or are to be, suspended. */
struct SuspensionsData {
  1: required i32 bulk,
  2: required i32 urgentOverShare,
  3: required i32 bulkOverShare
}

struct ClaimData {
  1: required string pool,
  2: required i64 sequence,
  3: required i64 appliedGrant,
  4: required i32 bulkLimit,
  5: required SuspensionsData suspendable,
  6: required i32 suspending,
  7: required list<HeldSlotsData> held,
  8: required list<WaitingWorkData> waits
}

struct GrantedSlotsData {
  1: required string endpoint,
  2: required i32 count
}

struct PoolStateData {
  1: required i32 slots,
  2: required i32 urgentRunning,
  3: required i32 bulkRunning,
  4: required bool urgentTight,
  5: required bool bulkTight,
  /** Absent when none waits on another router. */
  6: optional string urgentWaiting,
  7: optional string bulkWaiting
}

struct GrantData {
  1: required string pool,
  2: required i64 sequence,
  3: required i64 ackedClaim,
  4: required i32 leaseMillis,
  5: required list<GrantedSlotsData> slots,
  6: required i32 bulkLimit,
  7: required PoolStateData state,
  8: required SuspensionsData suspend
}

/** Exactly one field is set. */
union PolicyMessageData {
  1: UsageData usage,
  2: ClaimData claim,
  3: GrantData grant
}
