//! Definition of the commands and flags.

#![allow(missing_docs, clippy::all, clippy::pedantic)]

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Operates quetzalpin. Exit codes: 0 done, 2 invalid input, 3 conflict or invalid
    /// settings, 4 refused, 5 entry unreachable, 6 a guarantee was violated.
    cmd quetzalpin {
        /// Address of the entry; default 127.0.0.1:7100.
        optional --entry address: SocketAddr
        /// Operator or team credential; default from QUETZALPIN_CREDENTIAL.
        optional --credential text: String
        /// Print JSON.
        optional --json

        /// Show, compare and change settings.
        cmd settings {
            /// Print one subtree, or list all subtrees.
            cmd show {
                /// root or team.NAME
                optional subtree: String
            }
            /// Compare a file with the current revision of a subtree.
            cmd diff {
                /// root or team.NAME
                required subtree: String
                /// INI file
                required file: PathBuf
            }
            /// Apply a file as the new revision of a subtree.
            cmd apply {
                /// root or team.NAME
                required subtree: String
                /// INI file
                required file: PathBuf
                /// Revision that the file is based on; 0 for a new subtree.
                required --based-on revision: u64
                /// Author of the change; default from USER.
                optional --author name: String
                /// Validate without applying.
                optional --dry-run
            }
            /// List the accepted revisions of a subtree.
            cmd history {
                /// root or team.NAME
                required subtree: String
            }
        }
        /// Show upstreams, replicas, leases and queues.
        cmd status {}
        /// Explain why a request was routed or refused.
        cmd explain {
            /// Request ID
            required request: String
            /// Read this log file, of any number of processes, instead of asking an entry.
            optional --log file: PathBuf
        }
        /// Release a request that is quarantined for crashing upstreams.
        cmd release {
            /// Fingerprint, as printed by status
            required fingerprint: String
        }
        /// Run a small fleet in this process and demonstrate routing, streaming and refusals.
        cmd quickstart {}
        /// Inject random faults into a fleet of real processes and check every guarantee.
        cmd campaign {
            /// First seed.
            optional --seed number: u64
            /// Number of consecutive seeds; each runs one campaign.
            optional --seeds count: u64
            /// Duration of fault injection per campaign in seconds.
            optional --seconds count: u64
            /// Directory for the daemons' logs of the last campaign.
            optional --logs folder: PathBuf
        }
        /// Run a benchmark.
        cmd bench {
            /// Measure the latency that entry and agent add to a request on a loaded model.
            cmd warm {
                /// Requests per second.
                optional --rate count: u32
                /// Duration in seconds.
                optional --seconds count: u64
            }
            /// Measure how control-plane cost grows with fleet size; runs real daemons.
            cmd capacity {}
            /// Measure the time of finding the account of a request.
            cmd accounts {
                /// Number of accounts.
                optional --accounts count: usize
                /// Number of keys of all accounts.
                optional --keys count: usize
            }
            /// Measure the processor time of the order planner by fleet size.
            cmd planner {
                /// Number of engines.
                optional --engines count: usize
                /// Number of entries.
                optional --entries count: usize
            }
            /// Measure the processor time of one choice of an upstream.
            cmd choice {
                /// Number of upstreams.
                optional --upstreams count: usize
            }
            /// Measure service by rank before, during and after a flood.
            cmd flood {
                /// background, urgent or both
                optional --of rank: String
                /// Rate of the flood as a multiple of the fleet's capacity.
                optional --times factor: u32
                /// Duration of each phase in seconds.
                optional --seconds count: u64
                /// Also measure the baseline policies.
                optional --baselines
            }
            /// Measure cold starts in a burst over many idle models.
            cmd cold {
                /// office or nocturne
                optional --fleet name: String
                /// Idle models in the burst.
                optional --models count: usize
                /// Requests per model in the burst.
                optional --requests count: usize
                /// urgent, normal or background
                optional --rank name: String
                /// Seconds to wait after the burst for idle replicas to be unloaded.
                optional --tail count: u64
                /// Also measure the baseline policies.
                optional --baselines
            }
        }
    }
}
