package io.siskintrail.lib;

/**
 * Numbered outcomes that are returned to callers, shown to operators and written to logs. The table
 * in docs/RESULT-CODES.md lists all codes; a test keeps the table and this enum identical.
 *
 * <p>Ranges: 1xxx invalid, unauthorized or failed requests of callers, 2xxx settings and command
 * line, 3xxx rules, 4xxx control replicas and their storage, 5xxx calls of services that answer
 * with a single response, among them orders, which run at most once, 6xxx membership and endpoints,
 * 7xxx generations, 8xxx admission.
 */
public enum ResultCode {
    OK(0, 200, "The operation succeeded."),

    // 1xxx: invalid, unauthorized or failed requests of callers.
    BAD_JSON(1001, 400, "The body is not valid JSON or a field has the wrong type."),
    MISSING_FIELD(1002, 400, "A field that the request needs is missing."),
    UNKNOWN_MODEL(1003, 404, "No rule or endpoint knows the model."),
    INPUT_TOO_LONG(1004, 413, "The body, a header or the prompt exceeds its size limit."),
    MISSING_API_KEY(1005, 401, "The request carries no API key."),
    UNKNOWN_API_KEY(1006, 401, "The API key belongs to no client account."),
    NOT_FOUND(1007, 404, "Nothing is served at this path."),
    KEY_REUSED(1008, 409, "The key was used before with a different body."),
    BAD_HEADER(1009, 400, "A header of the request is malformed."),
    PROCESS_BROKEN(1098, 500, "A thread met an error that it cannot handle; the process ended."),
    INTERNAL(1099, 500, "Internal error; the log has the details."),

    // 2xxx: settings and command line.
    BAD_COMMAND_LINE(2001, 400, "An argument is unknown, missing or malformed."),
    SETTINGS_UNREADABLE(2002, 400, "The settings file cannot be read or is not JSON."),
    SETTINGS_UNKNOWN_KEY(2003, 400, "The settings have a key that is not known."),
    SETTINGS_WRONG_TYPE(2004, 400, "A setting has the wrong type or is missing."),
    SETTINGS_OUT_OF_RANGE(2005, 400, "A setting is outside its range."),
    ADDRESS_IN_USE(2006, 500, "The address to listen on cannot be bound."),
    MISSING_OPERATOR_TOKEN(2007, 401, "The request carries no operator token."),
    UNKNOWN_OPERATOR_TOKEN(2008, 401, "The token belongs to no operator."),
    FILE_UNREADABLE(2009, 400, "A file that the command names cannot be read."),
    CONTROL_UNREACHABLE(2010, 503, "The command got no answer from a control host."),
    BAD_ANSWER(2011, 502, "A control host gave an answer that the command cannot read."),

    // 3xxx: rules.
    RULE_WITHOUT_COMMENT(3001, 400, "The rule has no comment that says who asked for it."),
    RULE_UNKNOWN_KIND(3002, 400, "The first word of the line is not a known kind of rule."),
    RULE_UNKNOWN_KEY(3003, 400, "The rule has a key that its kind does not support."),
    RULE_MISSING_KEY(3004, 400, "The rule lacks a word or key that its kind needs."),
    RULE_REPEATED_KEY(3005, 400, "The rule sets a key twice."),
    RULE_BAD_VALUE(3006, 400, "A value of the rule has the wrong form."),
    RULE_OUT_OF_RANGE(3007, 400, "A value of the rule is outside its range."),
    RULE_UNEXPECTED_WORD(3008, 400, "The line has an unexpected word or character."),
    RULE_DUPLICATE(3009, 400, "An earlier line already has a rule for the same subject."),
    RULE_CONFLICT(3010, 400, "The rule contradicts itself or other rules."),
    RULES_TOO_LARGE(3011, 413, "The rules file exceeds its size limit or has too many rules."),
    RULES_REFUSED(3012, 400, "The rules file has errors; no part of it was applied."),
    RULES_NUMBER_TAKEN(3013, 409, "Another edit with the same base number was applied first."),
    RULES_NUMBER_UNKNOWN(3014, 409, "The base number of the edit does not exist."),
    RULES_PENDING(
            3015, 504, "The edit is not confirmed; resend the same edit to learn its outcome."),
    NOT_RUN_RULES_STALE(3016, 503, "The host cannot confirm its rules; the request was not run."),
    HOSTS_PENDING(3017, 409, "An earlier change of the hosts is not in force yet."),
    HOSTS_REFUSED(3018, 409, "The requested change of the hosts is not allowed."),
    RULES_STALE(3019, 503, "The host cannot confirm its rules; an earlier attempt may have run."),

    CONFIGURATION_REFUSED(3020, 400, "The configuration is invalid; no part of it was applied."),
    CONFIGURATION_UNCONFIRMED(
            3021, 503, "The host cannot confirm which configuration is the newest."),
    ROLLOUT_REFUSED(3022, 400, "The rollout order is invalid; nothing was started."),
    ROLLOUT_PENDING(3023, 409, "The same rollout order is being committed; send it again."),
    ROLLOUT_CONFLICT(3024, 409, "Another rollout of the service runs; nothing was started."),
    ROLLOUT_UNKNOWN(3025, 404, "No rollout of the service was ordered."),
    ROLLOUT_UNCONFIRMED(
            3026, 503, "The host cannot confirm the state of the rollout; send the call again."),

    // 4xxx: control replicas and their storage.
    CONTROL_UNAVAILABLE(4001, 503, "No control leader accepted the command; it was not proposed."),
    CONTROL_OUTCOME_UNKNOWN(
            4002, 503, "No answer arrived in time; the command may still be committed."),
    LOG_DAMAGED(
            4003,
            500,
            "A record in the middle of the write-ahead log is damaged; the replica stays down."),
    SNAPSHOT_DAMAGED(4004, 500, "No snapshot file is intact; the replica does not start."),
    STORAGE_FAILED(4005, 500, "A write or a sync failed; the replica stopped."),
    DATA_FOLDER_IN_USE(4006, 500, "Another process holds the data folder."),
    COMMAND_TOO_LARGE(
            4007, 413, "The command exceeds the size limit of a log entry; it was not proposed."),

    // 5xxx: calls of services, among them orders, which run at most once.
    ORDER_UNKNOWN(
            5001, 502, "The order may or may not have run; it is not sent again under its key."),
    ORDER_IN_PROGRESS(5002, 409, "The order is still in progress; ask again with the same key."),
    ORDER_NOT_STARTED(5003, 503, "The order was not run: it could not be dispatched in time."),
    ORDER_NOT_CONNECTED(
            5004, 503, "The order was not run: no connection to an endpoint could be established."),
    ORDER_LEDGER_FULL(5005, 503, "The order was not run: the ledger has reached its record limit."),
    ORDER_LEDGER_UNAVAILABLE(
            5006,
            503,
            "Nothing was sent; the ledger did not report in time whether the key ran before."),
    ORDER_ANSWER_NOT_KEPT(5007, 410, "The order ran; its answer was too large to keep."),
    ORDER_KEY_REQUIRED(5008, 400, "The rules require an idempotency key on this call."),
    SERVICE_UNAVAILABLE(5009, 503, "No endpoint of the service answered a repeatable call."),
    CALL_OUTCOME_UNKNOWN(5010, 502, "The call was sent but not answered; it may have run."),
    CALL_TIMED_OUT(5011, 504, "No answer arrived within the timeout of the call."),
    NOT_RUN_ENDPOINT_FULL(5012, 503, "The endpoint refused the call; it was not run."),

    // 6xxx: membership and endpoints.
    NO_ENDPOINT(6001, 503, "No endpoint that can run the request is known."),

    NOT_RUN_NO_ROOM(6002, 503, "No endpoint had capacity for the request in time; it was not run."),
    NOT_RUN_UNREACHABLE(
            6003,
            503,
            "No connection to an endpoint could be established; the request was not run."),

    // 7xxx: generations.
    ATTEMPTS_EXHAUSTED(7001, 502, "Every allowed attempt of the generation failed."),
    VERSION_LOST(7002, 502, "No endpoint runs the version that the answer was started with."),
    GENERATION_LOST(
            7003, 410, "No router knows the answer that the caller has received a part of."),
    POSITION_LOST(
            7004, 409, "The rest of the answer that the caller has received a part of is lost."),
    REQUEST_QUARANTINED(7005, 422, "Requests with this content are temporarily refused."),
    GENERATION_MOVED(7006, 503, "The answer continues on another host; reconnect to get the rest."),
    NOT_RUN_QUARANTINED(
            7007, 503, "Requests with this content make endpoints fail; the request was not run."),

    // 8xxx: admission.
    NOT_RUN_SHUTTING_DOWN(8001, 503, "The host is shutting down; the request was not run."),
    NOT_RUN_DELAY(
            8002, 503, "The request could not start within its allowed wait; it was not run."),
    NOT_RUN_QUEUE_FULL(
            8003,
            503,
            "Too many requests of the client account are queued; the request was not run."),
    NOT_RUN_DEADLINE(8004, 503, "The allowed wait for a start ended; the request was not run."),
    NOT_RUN_REQUEST_RATE(
            8005, 429, "The client account exceeds its request rate; the request was not run."),
    NOT_RUN_TOKEN_RATE(
            8006, 429, "The client account exceeds its token rate; the request was not run."),
    NOT_RUN_IN_FLIGHT(
            8007,
            429,
            "The client account has too many requests in flight; the request was not run."),
    NOT_RUN_RETRY_BUDGET(
            8008,
            429,
            "The client account has exhausted its retry budget; the request was not run."),
    SUSPENDED_TOO_LONG(
            8009, 503, "A suspended generation could not resume within its allowed wait.");

    private final int number;
    private final int httpStatus;
    private final String meaning;

    ResultCode(int number, int httpStatus, String meaning) {
        this.number = number;
        this.httpStatus = httpStatus;
        this.meaning = meaning;
    }

    /**
     * Returns the number that is shown to callers, in logs and in docs/RESULT-CODES.md: 0 for
     * success, otherwise four digits, the first of which is the range.
     */
    public int number() {
        return number;
    }

    /** Returns the status of an HTTP response with this code, from 200 to 504. */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns one sentence that describes the outcome, as in docs/RESULT-CODES.md; some responses
     * to callers contain the sentence.
     */
    public String meaning() {
        return meaning;
    }
}
