//! Commands and their flags.

#![allow(missing_docs, clippy::all, clippy::pedantic)]

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Operates quetzalpin. Exit codes: 0 done, 2 wrong input, 3 conflict or invalid
    /// settings, 4 refused, 5 entry not reached, 6 a promise was broken.
    cmd quetzalpin {
        /// Address of an entry; 127.0.0.1:7100 if absent.
        optional --entry address: SocketAddr
        /// Credential of the operators or of a team; else QUETZALPIN_CREDENTIAL.
        optional --credential text: String
        /// Print JSON.
        optional --json

        /// Show, compare and change settings.
        cmd settings {
            /// Print a subtree, or list all of them.
            cmd show {
                /// root or team.NAME
                optional subtree: String
            }
            /// Compare a file with the subtree in force.
            cmd diff {
                /// root or team.NAME
                required subtree: String
                /// INI file
                required file: PathBuf
            }
            /// Apply a file as the new subtree.
            cmd apply {
                /// root or team.NAME
                required subtree: String
                /// INI file
                required file: PathBuf
                /// Revision that the file is based on; 0 for a new subtree.
                required --based-on revision: u64
                /// Who applies it.
                optional --author name: String
                /// Check only.
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
        /// Tell why a request was routed or refused.
        cmd explain {
            /// Identity of the request
            required request: String
            /// Read the logs in this file, of any number of processes, in place of an entry.
            optional --log file: PathBuf
        }
        /// Release a request that is held back for crashing upstreams.
        cmd release {
            /// Fingerprint as shown by status
            required fingerprint: String
        }
        /// Run a small fleet in this process and show what it does.
        cmd quickstart {}
        /// Inject random faults into a fleet of real processes and check every promise.
        cmd campaign {
            /// First seed.
            optional --seed number: u64
            /// Number of seeds, one campaign each.
            optional --seeds count: u64
            /// Seconds of faults in each campaign.
            optional --seconds count: u64
            /// Folder that keeps the daemons' logs of the last campaign.
            optional --logs folder: PathBuf
        }
        /// Measure.
        cmd bench {
            /// Overhead on a warm request against the engine alone.
            cmd warm {
                /// Requests per second.
                optional --rate count: u32
                /// Seconds.
                optional --seconds count: u64
            }
            /// Slopes of the cost of control over size; runs real daemons.
            cmd capacity {}
            /// Service by rank before, in and after a flood.
            cmd flood {
                /// background, urgent or both
                optional --of rank: String
                /// Multiple of the fleet's capacity.
                optional --times factor: u32
                /// Seconds of each phase.
                optional --seconds count: u64
                /// Also run the baselines.
                optional --baselines
            }
            /// Cold starts in a burst over many idle models.
            cmd cold {
                /// office or nocturne
                optional --fleet name: String
                /// Idle models in the burst.
                optional --models count: usize
                /// Requests per model in the burst.
                optional --requests count: usize
                /// urgent, normal or background
                optional --rank name: String
                /// Seconds after the burst during which idle replicas may leave.
                optional --tail count: u64
                /// Also run the baselines.
                optional --baselines
            }
        }
    }
}
