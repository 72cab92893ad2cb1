/** Commands, answers and images of the order ledger. */
namespace java io.siskintrail.wire.gen.ledger

struct OrderKeyData {
  1: required string serviceName,
  2: required string account,
  3: required string key
}

struct ClaimIdData {
  1: required string host,
  2: required i64 boot,
  3: required i64 number
}

struct StoredAnswerData {
  1: required i32 status,
  2: required string contentType,
  3: required binary body,
  /** False when the body was over the limits of the ledger. */
  4: required bool kept
}

struct ClaimData {
  1: required OrderKeyData key,
  2: required ClaimIdData claim,
  3: required binary digest,
  4: required i64 retentionMillis
}

struct DispatchData {
  1: required OrderKeyData key,
  2: required ClaimIdData claim,
  3: required string endpoint,
  4: required i32 attempt,
  5: required i64 answerMillis
}

struct CompleteData {
  1: required OrderKeyData key,
  2: required ClaimIdData claim,
  3: required i32 attempt,
  4: required StoredAnswerData answer
}

struct MarkUnknownData {
  1: required OrderKeyData key,
  2: required ClaimIdData claim,
  3: required i32 attempt
}

struct ReleaseData {
  1: required OrderKeyData key,
  2: required ClaimIdData claim,
  3: required i32 attempt
}

struct SettleHostData {
  1: required string host,
  2: required i64 currentBoot
}

union LedgerCommandData {
  1: ClaimData claim,
  2: DispatchData dispatch,
  3: CompleteData complete,
  4: MarkUnknownData markUnknown,
  5: ReleaseData release,
  6: SettleHostData settleHost
}

struct RunningData {
  1: required ClaimIdData holder,
  2: required bool dispatched
}

/** Answers that carry nothing but their kind. */
enum PlainAnswerData {
  CLAIMED = 1,
  UNKNOWN = 2,
  OTHER_CONTENT = 3,
  FULL = 4,
  ACCEPTED = 5,
  REFUSED = 6
}

union LedgerAnswerData {
  1: PlainAnswerData plain,
  2: RunningData running,
  3: StoredAnswerData done,
  4: i32 dispatchedAttempt
}

enum OrderStateData {
  CLAIMED = 1,
  DISPATCHED = 2,
  DONE = 3,
  UNKNOWN = 4
}

struct OrderRecordData {
  1: required OrderKeyData key,
  2: required ClaimIdData claim,
  3: required binary digest,
  4: required OrderStateData state,
  5: optional string endpoint,
  6: required i32 attempt,
  7: optional StoredAnswerData answer,
  8: required i64 retentionMillis,
  9: required i64 deadlineMillis
}

struct LedgerImageData {
  1: required list<OrderRecordData> records
}
