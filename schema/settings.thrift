// Settings of every lacewinggw process, with defaults. Each struct is an INI section; a field's
// suffix gives its unit: _ms and _s (time), _bytes (size), _bytes_per_s (rate), _percent (share).
// The INI key has no suffix and the value carries the unit: `patience_ms` is `patience = 400ms`.
// A required field has no default. Addresses are "ip:port".
namespace py lacewinggw.generated.settings

struct ProcessSettings {
  1: required string host                      // this host's id
  2: required string place                     // its place (availability zone)
  3: required string fleet_key                 // shared by all processes of the fleet
  4: string log_format = "json"                // how a line is written
  5: string log_level = "info"                 // least that is logged
  6: i64 memory_bytes = 150000000              // of this process's machine; bounds what clients make it hold
  7: i32 descriptors = 1024                    // of this process, 200 of them for files; bounds connections of clients
}

struct PlatformSettings {
  1: required string table                     // address of the table service
  2: required string objects                   // object store
  3: required string origin                    // origin of weights
  4: required string weight_store              // rate-limited weight store
  5: required string membership                // list of hosts
  6: i64 timeout_ms = 2000                     // one call to the platform
  7: i64 membership_poll_ms = 2000             // an entry's reading of the list of hosts
}

struct EntrySettings {
  1: required string caller_listen             // HTTP for callers
  2: required string operator_listen           // HTTP for operators, /metrics and /healthz
  3: required string peer_listen               // thrift frames
  4: string caller_address = ""                // as told to callers; caller_listen when empty
  5: i64 address_ttl_ms = 10000                // how long callers may keep an address answer
  6: i32 addresses_per_answer = 3              // entries that one answer names
  7: i64 drain_limit_ms = 60000                // longest wait for requests in progress at exit
  8: i64 body_limit_bytes = 4194304            // longest body of a caller's request
  9: list<string> operator_tokens              // "name:token"
  10: list<string> accounts                    // "account:token:requests-per-second:concurrency[:weight]"
  11: i32 requests_per_address = 200           // of an account's limit, for each address told
  12: i32 requests_limit = 4096                // requests in progress at one entry
  13: i64 demand_ms = 250                      // between reports of demand to other entries
  14: string ready_listen = ""                 // readiness probes; only on a shared platform
  15: string directory_listen = ""             // address queries; only on a shared platform
}

struct AgentSettings {
  1: required string peer_listen               // thrift frames
  2: required string operator_listen           // /metrics and /healthz
  3: required string target                    // address of the target on this host
  4: string target_kind = "engine"             // engine or plain
  5: string service_name = ""               // a plain target's service
  6: bool target_fences = false                // the target refuses orders with an old fence; checked after each
  7: i64 link_bytes_per_s = 125000000          // this host's link, each direction
  8: i32 weights_share_percent = 70            // most of the link that weights may take
  9: i64 drain_limit_ms = 60000                // longest wait for requests in progress at exit
  10: i64 heartbeat_ms = 1000                  // between heartbeats of an idle target
  11: i32 concurrency = 8                      // requests running on the target at once
  12: i32 queue_length = 64                    // requests waiting for the target
  13: i64 membership_poll_ms = 5000            // an agent's reading of the list of hosts
}

struct SpreadSettings {
  1: i32 neighbours = 8                        // in the same place
  2: i32 remote_neighbours = 2                 // in other places
  3: i32 in_flight = 2                         // chunk requests per neighbour
  4: i64 patience_ms = 400                     // per rank, before the next rank goes to the origin
  5: i32 ranks = 3                             // ranks that may go to the origin at all
  6: i64 stall_ms = 2000                       // no progress for so long: ask another
  7: i32 corrupt_limit = 3                     // bad chunks from one source before it is left
  8: i64 silence_ms = 15000                    // nobody has it for so long: any rank may ask
  9: i32 gateways = 4                          // hosts per place that bring chunks into it
  10: i32 in_flight_total = 8                  // chunk requests to all neighbours together
  11: i64 origin_backoff_ms = 8000             // longest pause after failures of the origin
}

struct RequestSettings {
  1: i64 deadline_ms = 30000                   // when the caller names none
  2: i64 reservation_ms = 5000                 // a reservation or ticket lapses after so long
  3: i64 answer_keep_ms = 3600000              // recorded answers in the object store
  4: i64 claim_batch_ms = 5                    // claims written together
  5: i32 piece_window = 256                    // pieces in flight to one caller
}

struct RoutingSettings {
  1: i32 subset = 64                           // targets per service one entry deals with
  2: i32 retry_percent = 10                    // retries as a share of requests
  3: i32 eject_after = 5                       // failures in a row
  4: i64 eject_ms = 5000                       // how long a failing target is left out
  5: i32 eject_limit_percent = 50              // most targets out at once
  6: i64 slow_start_ms = 5000                  // until a fresh target gets its full share
  7: i64 dead_after_ms = 5000                  // silence before a target is taken for dead
  8: i32 urgent_percent = 20                   // share kept for urgent requests
  9: string policy = "cost"                    // cost; in-flight, round-robin or random to compare
}

struct ConfigurationSettings {
  1: i64 poll_ms = 1000                        // reading the log's tail
  2: i32 snapshot_every = 100                  // revisions between snapshots
  3: i64 placement_delay_ms = 500              // per rank, before the next entry places
  4: i64 dead_host_ms = 10000                  // missing from the list and silent for so long
}

// A fleet whose routes, targets and weights are declared in a store that its operators run. The
// bounds are the operators' and replace the defaults here.
struct FleetSettings {
  1: required string store                     // address of the operators' store
  2: list<string> regions                      // "place:region"
  4: i64 apply_ms = 2000                       // a change of the routes is in force by then
  5: i64 revocation_ms = 5000                  // a key taken away is refused by then, in touch or not
  6: i64 grace_ms = 8000                       // between the signal to leave and the kill
  7: i32 retry_percent = 20                    // retries as a share of a service's requests
  8: i32 extra_retries = 100                   // retries of all entries beyond that share
  9: i64 retry_window_ms = 10000               // over which retries are counted
  10: i64 version_ms = 8000                    // a named version is on every target by then
  11: i64 lapse_ms = 1900                      // a target unlisted by an outage is believed for so long
  12: bool first_start = false                 // the whole fleet starts for the first time: targets come filled, no retries were made
  13: i64 evacuation_ms = 5000                 // an evacuated availability zone gets no requests after so long
  14: i32 cold_overshoot_percent = 100         // a cold target's rate that is tolerated, of the declared one
  15: i32 cold_slack = 0                       // requests in one second beyond that rate
}

struct OperatorSettings {
  1: list<string> entries                      // operator addresses of entries
  2: string token = ""                         // operator's token
  3: i64 timeout_ms = 10000                    // one call to an entry
}

struct Settings {
  1: ProcessSettings process
  2: PlatformSettings platform
  3: EntrySettings entry
  4: AgentSettings agent
  5: SpreadSettings spread
  6: RequestSettings requests
  7: RoutingSettings routing
  8: ConfigurationSettings configuration
  9: OperatorSettings operator
  10: FleetSettings fleet
}
