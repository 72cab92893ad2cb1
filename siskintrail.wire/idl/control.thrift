/** The control log by sections, the configuration section, and the messages that confirm it. */
namespace java io.siskintrail.wire.gen.control

/** The part of the control state that a command, an answer or an image belongs to. */
enum SectionData {
  CONFIGURATION = 1,
  LEDGER = 2
}

/** A command or an answer of one section, encoded by the codec of that section. */
struct SectionBodyData {
  1: required SectionData section,
  2: required binary body
}

struct ControlImageData {
  1: required list<SectionBodyData> sections
}

struct HostInfoData {
  1: required string id,
  2: required string domain,
  3: required string peerAddress
}

struct ConfigurationData {
  1: required i64 version,
  2: required i64 rulesNumber,
  /** The rules file in UTF-8, deflated. */
  3: required binary rulesDeflated,
  4: required string byOperator,
  5: required i64 rulesAtMillis,
  6: required list<HostInfoData> hosts,
  7: required list<string> draining
}

struct ApplyRulesData {
  1: required i64 baseNumber,
  2: required binary rulesDeflated,
  3: required string byOperator
}

struct SetDrainingData {
  1: required string host,
  2: required bool draining
}

struct SeedHostsData {
  1: required list<HostInfoData> hosts
}

union ConfigurationCommandData {
  1: ApplyRulesData applyRules,
  2: i64 markInForce,
  3: SeedHostsData seedHosts,
  4: HostInfoData putHost,
  5: string removeHost,
  6: SetDrainingData setDraining
}

struct RulesEditData {
  1: required i64 number,
  2: required i64 version,
  3: required string byOperator,
  4: required i64 atMillis,
  5: required string digest,
  6: required list<string> added,
  7: required list<string> removed,
  8: required bool truncated
}

struct RulesAppliedData {
  1: required i64 number,
  2: required i64 version
}

struct NumberTakenData {
  1: optional RulesEditData winner,
  2: required i64 currentNumber
}

union ConfigurationAnswerData {
  1: RulesAppliedData rulesApplied,
  2: NumberTakenData numberTaken,
  3: i64 numberUnknown,
  4: i64 hostsChanged,
  5: i64 hostsPending,
  6: bool hostsRefused,
  7: i64 marked
}

struct ConfigurationImageData {
  1: required ConfigurationData current,
  2: required list<HostInfoData> previousHosts,
  3: required i64 hostsVersion,
  4: required i64 inForceVersion,
  5: required list<RulesEditData> history
}

/** A host asks a control replica, or another host, whether it is current. */
struct QuestionData {
  1: required i64 nonce,
  2: required i64 version
}

struct LeaderAnswerData {
  1: required i64 nonce,
  2: required i64 version,
  3: optional ConfigurationData configuration
}

struct PeerAnswerData {
  1: required i64 nonce,
  2: required bool counted,
  3: required i64 version,
  4: optional ConfigurationData configuration
}

union CurrencyMessageData {
  1: QuestionData controlQuestion,
  2: LeaderAnswerData leaderAnswer,
  3: ConfigurationData push,
  4: QuestionData peerQuestion,
  5: PeerAnswerData peerAnswer
}
