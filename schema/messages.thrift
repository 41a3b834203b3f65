// Messages between lacewinggw processes, and the rows the platform's table keeps for them.
// Regenerate with `make schema`; field numbers are never reused.
namespace py lacewinggw.generated.messages

// ---- identity -------------------------------------------------------------------------

enum Role { ENTRY = 1, AGENT = 2, OPERATOR = 3 }

// First frame on a connection, in both directions.
struct Hello {
  1: string host
  2: Role role
  3: string place
  4: string incarnation      // random per process start
  5: binary nonce
  6: string address          // the sender's own peer listener, "ip:port"
}

// Second frame: keyed digest over the other side's nonce and one's own Hello.
struct Proof { 1: binary digest }

// A refusal. `outcome` is "not-run" or "unknown" where the call was a request.
struct Failure {
  1: string code
  2: string reason
  3: string remedy
  4: i64 retry_after_ms = 0
  5: string outcome = ""
}

struct Done { 1: string note = "" }

// ---- configuration --------------------------------------------------------------------

enum ServiceKind { MODEL = 1, PLAIN = 2 }
// Which part of a request the engines of a service run.
enum EngineRole { BOTH = 1, PREFILL = 2, DECODE = 3 }
enum Prefer { TIME = 1, ORIGIN_BYTES = 2 }

struct Release {
  1: string name
  2: string digest           // hex SHA-256 over the ordered chunk hashes: the release's identity
  3: i64 size_bytes
  4: i32 chunk_count
}

struct ReplicaGoal { 1: string release, 2: i32 replicas }

struct Service {
  1: string name
  2: ServiceKind kind
  3: list<ReplicaGoal> goals         // a plain service has one goal with an empty release
  4: Prefer prefer = Prefer.TIME
  5: i32 floor_percent = 50          // share of declared replicas kept serving during a change
  6: bool repeatable = false         // default for requests that do not say
  7: list<string> unrepeatable_paths
  8: i64 revision = 0                // last revision that changed it
  9: EngineRole role = EngineRole.BOTH
  10: list<string> adapters          // loaded beside the weights on each of its engines
}

struct CreateRelease { 1: Release release }
struct PutService { 1: Service declared }
struct RemoveService { 1: string service_name }
struct WithdrawRelease { 1: string release }
struct SetDrain { 1: string host, 2: bool draining }

// One host's part in a placement: which release it serves for which service ("" release: plain).
// With a `next_release` the host goes on serving `release` and loads the next one beside it; a later
// Assignment with that as its `release` is the host's turn to change over.
struct Assignment { 1: string host, 2: string service_name, 3: string release, 4: string next_release = "" }
// Placement of one service. `assignments` are added to those before or replace those of the same
// host; the hosts in `released` lose theirs.
struct Place {
  1: string service_name
  2: list<Assignment> assignments
  3: string cause
  4: list<string> released
}

union Change {
  1: CreateRelease create_release
  2: PutService put_service
  3: RemoveService remove_service
  4: WithdrawRelease withdraw_release
  5: SetDrain set_drain
  6: Place place
}

// The row `log/<revision>`; created only if absent, never rewritten.
struct LogEntry {
  1: i64 revision
  2: string command_id
  3: string author
  4: i64 accepted_at_ms          // wall clock of the writer, for people only
  5: i64 read_revision           // what the author had seen
  6: list<Change> changes
  7: string words                // the command as written
}

// Whole state at a revision: a snapshot in the object store, and the bootstrap from a peer.
struct Snapshot {
  1: i64 revision
  2: list<Release> releases
  3: list<Service> services
  4: list<string> draining
  5: list<Place> placements
  6: list<LogEntry> recent       // newest entries without assignments: history, command look-up
}

struct FetchLog { 1: i64 after, 2: i32 limit }
struct LogRows { 1: list<LogEntry> entries, 2: i64 head }
struct FetchSnapshot { 1: i64 at_least = 0 }
// From agent to entry, or entry to entry: send me each new entry from here on.
struct Subscribe { 1: i64 after }
struct LogNews { 1: list<LogEntry> entries, 2: i64 head }

// ---- weights --------------------------------------------------------------------------

struct Manifest {
  1: string name
  2: string digest
  3: list<binary> chunk_hashes   // SHA-256 each
  4: list<i64> chunk_sizes       // bytes each
}

struct FetchManifest { 1: string digest }
struct ManifestData { 1: Manifest manifest }

// Which chunks the sender holds, whole (bitmap) or as a delta (added); one-way.
struct Have {
  1: string digest
  2: i64 sequence
  3: optional binary bitmap
  4: list<i32> added
  5: bool wants_reply = false
  6: i32 waiting = 0             // chunks asked of the sender and not yet sent
}
struct FetchChunk { 1: string digest, 2: i32 index, 3: bool endgame = false }
struct ChunkData { 1: string digest, 2: i32 index, 3: binary data }
struct CancelChunk { 1: string digest, 2: i32 index }

struct SpreadReport {
  1: string release
  2: string digest
  3: i32 chunks_held
  4: i32 chunk_count
  5: i64 origin_bytes
  6: i64 store_bytes
  7: i64 downloaded_bytes
  8: i64 uploaded_bytes
  9: i64 cross_place_bytes
  10: i32 stalls
  11: i32 corrupt_chunks
  12: list<string> bad_sources
  13: double rate_bytes_per_s
  14: string held_up_by          // "" while it goes on; else reason and remedy
}

// ---- targets and load -----------------------------------------------------------------

enum TargetState { STARTING = 1, FETCHING = 2, LOADING = 3, SERVING = 4, DRAINING = 5, FAILED = 6, IDLE = 7 }

struct Load {
  1: i32 running
  2: i32 queued
  3: i32 capacity
  4: i64 age_ms                  // age of the target's own report
  5: double queue_delay_ms = 0
  6: double request_ms = 0       // smoothed time that one request runs on the target; 0: unknown
  7: i32 urgent = 0              // of those running and queued, the urgent ones
}

// From agent to each entry that deals with it: on change, and when idle.
struct Heartbeat {
  1: string host
  2: string place
  3: string incarnation
  4: string service_name
  5: string release
  6: string digest               // read back from the target; "" when nothing is active
  7: TargetState state
  8: Load load
  9: list<SpreadReport> spreads
  10: i64 sequence
  11: string ready_digest = ""   // loaded beside what is active, for the host's turn to change over
}
// From entry to agent: send me heartbeats on this connection, when idle every `interval_ms` (0: as
// the agent's settings say), or with `stop` no more.
struct Watch { 1: string entry, 2: i64 interval_ms = 0, 3: bool stop = false }
// From entry to entry, for an operator: what did you last hear of these hosts?
struct FetchHeard { 1: list<string> hosts }
struct HeardTarget { 1: Heartbeat heartbeat, 2: i64 age_ms }
struct HeardTargets { 1: list<HeardTarget> targets }

// ---- fleets declared in the operators' store --------------------------------------------

// The age is a guess where the sender has just started and found the version named already.
struct NamedModelVersion { 1: string model, 2: i64 version, 3: i64 age_ms, 4: bool is_guess = false }

// What an answer said of a target `age_ms` ago: that it takes `per_s` requests a second of all entries
// together, or that it does not limit them any more. Passed on where the sender was told it itself.
struct TargetLimit {
  1: string target
  2: bool limited
  3: double per_s
  4: i64 age_ms
  5: bool passed_on
}

// An availability zone whose evacuation the operators requested; the sender learned of it `age_ms` ago.
struct EvacuatedPlace { 1: string place, 2: i64 age_ms }

// A target that stays cold for `remaining_ms` more, as the sender learned `age_ms` ago.
struct ColdTarget { 1: string target, 2: i64 remaining_ms, 3: i64 age_ms }

struct RoutePath { 1: string domain, 2: string prefix }
// What `version` of the routes may handle differently from `base_version`: requests with one of the
// paths or keys, or all. The ages tell how long ago the sender last knew each version to be the newest,
// as in an EntryUpdate; they count only in an answer.
struct RoutesDifference {
  1: i64 base_version
  2: i64 version
  3: i64 base_seen_age_ms
  4: list<RoutePath> paths = []
  5: list<string> keys = []
  6: bool is_total = false
  7: i64 version_age_ms
  8: i64 version_seen_age_ms
}

// From entry to entry, on change and now and then: whether callers may be sent to the sender, and
// how old its knowledge of the routes is. Ages are spans, so no clocks are compared.
struct EntryUpdate {
  1: string caller_address
  2: bool ready
  3: i64 routes_version
  4: i64 routes_age_ms           // the routes were known to be the newest so long ago
  9: i64 routes_seen_age_ms      // the same by a store whose feed overlooks nothing: no longer ago
  5: list<string> leaving        // starts of targets that, as the sender learned, take no new work
  6: list<NamedModelVersion> named
  8: i64 routes_position = 0     // how far the sender knows the store's changes of routes and versions
  10: i64 targets_age_ms         // the sender's list of targets was the store's so long ago
  11: i64 targets_digest         // of the starts of targets on it, and of those that leave
  12: i64 store_era = 0          // in which `routes_position` counts
  13: list<TargetLimit> limits = []
  14: list<EvacuatedPlace> evacuated = []  // all that the store lists as of `evacuated_position`
  15: list<ColdTarget> cold = []
  20: i64 evacuated_position = 0 // of the newest evacuation change that `evacuated` includes; 0: unknown
  21: i64 evacuated_era = 0      // in which `evacuated_position` counts
  22: list<RoutesDifference> differences = []  // in an answer from the asker's version, else from the sender's
  40: i32 next_ms = 500          // the sender's next update follows within so long
}
// Before the answer to a question that wants newer routes: the routes as the store has them, zlib, in
// parts, so that one who takes them over a narrow link sees them come.
struct RoutesPart { 1: binary data }
// From entry to entry: what do you know, and how old is it? The age counts back from the sending of
// this question, so that a reply that was held up makes nothing look newer than it is.
struct AskUpdate {
  1: i64 routes_version          // the newest that the asker knows
  2: bool wants_routes = true    // send newer ones along: they are large, so one of those asked does
  3: bool wants_difference = false  // before the parts of newer ones, and in the answer
}

// A request was sent to a target `ran_ms` before that ended, `age_ms` ago. `parts` are the shared
// parts of its prompt, as ids of contents.
struct TargetCrash {
  1: string request_digest
  2: string target
  3: i64 ran_ms
  4: i64 age_ms
  5: list<string> parts = []
}
// A request, or a prompt part by the id of its content, that a target served.
struct ServedRequest { 1: string request_digest, 2: i64 age_ms }
// From entry to entry, at once: requests that were running on targets as these ended, those of them
// and their parts that were served, and requests and parts that are kept away from targets.
struct CrashUpdate {
  1: list<TargetCrash> crashes
  2: list<ServedRequest> served
  3: list<string> quarantined
}

struct HeldWeights { 1: string model, 2: i64 version }

struct NamedVersion { 1: i64 version, 2: i64 age_ms }
// It stays cold for `cold_ms` more, as the sender learned `cold_age_ms` ago; without a report of it
// the age is the largest one.
struct ServiceTarget {
  1: string name
  2: string address
  3: string place
  4: i64 born_ms = 0
  30: i64 cold_ms = 0
  31: i64 cold_age_ms = 3600000
}

// From entry to agent, on change and now and then: what concerns the agent's service, so that agents
// need not read the store, whose answers are large and come over the link of the target.
struct FleetUpdate {
  1: string service_name
  2: i64 routes_version
  3: string model
  4: i32 layers
  5: i32 chunks
  6: i32 chunk_bytes
  7: i64 warmup_ms
  8: string origin = ""
  9: i64 origin_bytes_per_s = 0
  10: bool resumable = false     // every request of the service can go on at another target
  11: list<NamedVersion> named
  12: i64 targets_position       // of the store's news that `targets` stand for
  13: list<ServiceTarget> targets
  14: i64 store_era = 0          // in which `targets_position` counts
  15: list<string> evacuated = []  // availability zones whose targets get no requests
  16: double cold_per_s = 0      // requests a second that a cold target tolerates; 0: not limited
  17: i64 cold_start_ms = 0      // how long a target stays cold after its start
  40: i64 evacuated_position = 0 // of the newest evacuation change that `evacuated` includes; 0: unknown
  41: i64 evacuated_era = 0      // in which `evacuated_position` counts
}

// From agent to entry: the work of the target beside it, as the target itself says now.
struct TargetUpdate {
  1: string name                 // of the target; a new start of it may bear it again
  2: i32 running
  3: i32 queued
  4: bool leaving = false
  5: list<HeldWeights> held      // what the target answers with
  6: bool loading = false        // it takes nothing until it has loaded
  7: i64 sent_ms                 // by the agent's own clock: only its differences say something
  8: i64 born_ms = 0             // of the start that this is about; 0 where it does not tell
  9: i64 cold_ms = 0             // how much longer the target stays cold
  10: double slowness = 1        // measured service time as a multiple of the declared one
  20: bool hears_gaps = false    // the agent takes TargetGap; older builds close the link on it
}

// From an entry to the agent of a target, at once: a long gap between two events of a stream there.
struct TargetGap {
  1: i32 gap_us
  2: i32 declared_us             // by the declared figures, without prompts that are read meanwhile
}

// ---- requests -------------------------------------------------------------------------

enum Priority { URGENT = 1, NORMAL = 2, BULK = 3 }

struct RequestHead {
  1: string request_id
  2: string service_name
  3: string account
  4: Priority priority = Priority.NORMAL
  5: i64 deadline_ms             // time left when sent
  6: bool repeatable = false
  7: string path = "/"
  8: bool stream = false
  9: string idempotency_key = ""
  10: list<string> prefix_blocks // hashes of the prompt's leading blocks
  11: string digest = ""         // run only on this digest, when set
  12: i64 resume_from = 0        // pieces already delivered
  13: double weight = 1          // of the account in the fair share between accounts
  14: string method = "POST"      // of a call to a plain service
  15: string content_type = "application/json"
  16: i32 attempt = 0            // each try is a run of its own
}

// Reserve and start in one step; for repeatable requests, and for tickets being redeemed.
struct Offer { 1: RequestHead head, 2: binary body, 3: string nonce = "" }
struct Reserve { 1: RequestHead head }
struct Reservation {
  1: string nonce
  2: string host
  3: string incarnation
  4: i64 expires_in_ms
  5: string digest
}
struct Start { 1: string nonce, 2: RequestHead head, 3: binary body }
// `request_id` names the run where there is no nonce: the id, "/" and the attempt.
struct Withdraw { 1: string nonce, 2: string request_id, 3: string incarnation }
enum Standing { NEVER_STARTED = 1, STARTED = 2, FINISHED = 3, UNKNOWN = 4 }
struct Withdrawal { 1: Standing standing, 2: string incarnation, 3: optional Finish finish }

// Several ready pieces travel together; `first` is the index of pieces[0].
struct Pieces {
  1: i64 first
  2: list<binary> pieces
  3: string weights_digest = ""  // in the first frame of a call: what the pieces come from
}
struct Finish {
  1: i64 pieces                  // how many there were in all
  2: string content_digest       // hex SHA-256 over all the pieces
  3: string weights_digest       // release that answered, "" for a plain service
  4: i32 status = 200
  5: string content_type = "application/json"
  6: Load load
  7: string request_digest = ""   // of the request answered: service, path and body
}
struct Credit { 1: i64 pieces }    // on a call's way back: how many more pieces may be sent
struct Cancel { 1: string reason }

// From one entry to the one that took a request, for the caller whose account it is.
struct AskOutcome { 1: string request_id, 2: string account }
struct RequestTold { 1: string state, 2: string code = "", 3: string reason = "" }

// ---- slots ----------------------------------------------------------------------------

// From an entry to the agent beside a target: a lease on one of its slots. The answer is QUEUED or
// DECLINED at once, or GRANTED, at once or later; OVERTAKEN at once or later where those before it in
// line leave it no prospect. The entry follows with Cancel when it needs the slot no more, granted or
// not.
struct AskSlot {
  1: i32 slots                   // that the target has
  2: i32 rank                    // 0 goes first
  3: bool late                   // it cannot be on time any more
  4: i32 wait_ms                 // how long it may wait in line
  5: i32 reading_us              // how long the target takes to read its prompt
  6: string suspect = ""         // digest of a request that may end targets: it is put beside no other
  7: i32 waited_us = 0           // how long it has waited already, at other agents too
  8: string account = ""         // client account, for fair shares
  9: i32 service_us = 0          // estimated time of the target that the request takes
}
// EXCESS: the account is ahead of its share while others wait. It ends the request there as OVERTAKEN does.
enum SlotState { GRANTED = 1, QUEUED = 2, DECLINED = 3, OVERTAKEN = 4, EXCESS = 5 }
struct SlotUpdate { 1: SlotState state }

// ---- limits ---------------------------------------------------------------------------

struct AccountDemand { 1: string account, 2: double offered_per_s, 3: double admitted_per_s, 4: i32 running }
// `leaving` is told once to every entry: this one is not to be named to callers any more.
struct Demand {
  1: string entry
  2: i64 sequence
  3: list<AccountDemand> accounts
  4: bool leaving = false
}

// ---- frame ----------------------------------------------------------------------------

union Body {
  1: Hello hello
  2: Proof proof
  3: Failure failure
  4: Done done
  10: FetchLog fetch_log
  11: LogRows log_rows
  12: FetchSnapshot fetch_snapshot
  13: Snapshot snapshot
  14: Subscribe subscribe
  15: LogNews log_news
  20: FetchManifest fetch_manifest
  21: ManifestData manifest_data
  22: Have have
  23: FetchChunk fetch_chunk
  24: ChunkData chunk_data
  25: CancelChunk cancel_chunk
  30: Heartbeat heartbeat
  31: Watch watch
  40: Offer offer
  41: Reserve reserve
  42: Reservation reservation
  43: Start start
  44: Withdraw withdraw
  45: Withdrawal withdrawal
  46: Pieces pieces
  47: Finish finish
  48: Credit credit
  49: Cancel cancel
  50: AskOutcome ask_outcome
  51: RequestTold request_told
  32: FetchHeard fetch_heard
  33: HeardTargets heard_targets
  60: Demand demand
  70: EntryUpdate entry_update
  71: TargetUpdate target_update
  72: FleetUpdate fleet_update
  73: AskUpdate ask_update
  74: RoutesPart routes_part
  75: AskSlot ask_slot
  76: SlotUpdate slot_update
  77: CrashUpdate crash_update
  78: TargetGap target_gap
  79: RoutesDifference routes_difference
}

// NOTIFY has no answer; a REQUEST has replies with its call number, the last one LAST.
// FOLLOW travels from the caller to the handler of a call that is going on (Credit, Cancel).
enum FrameKind { NOTIFY = 1, REQUEST = 2, REPLY = 3, LAST = 4, FOLLOW = 5 }

struct Frame {
  1: i64 call
  2: FrameKind kind
  3: i64 revision                // highest configuration revision the sender has applied
  4: Body body
}
