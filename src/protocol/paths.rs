//! HTTP paths that controllers serve to users and workers, and those that they request from the cloud, the workers and
//! the state service.

/// Submissions of jobs by users. The path of a single job is this one followed by a slash and the job's id.
pub const JOBS: &str = "/v1/jobs";
/// Suffix of a job's path for requests to cancel the job.
pub const CANCEL_SUFFIX: &str = "/withdraw";
/// Health checks by the load balancer.
pub const READY: &str = "/ready";
/// Heartbeats of workers.
pub const HEARTBEAT: &str = "/checkin";
/// Direct commands to a worker.
pub const COMMANDS: &str = "/do";
/// The cloud's machine types.
pub const MACHINE_TYPES: &str = "/flavors";
/// The cloud's machines: the list of machines and rental requests.
pub const MACHINES: &str = "/hosts";
/// Requests to return machines to the cloud.
pub const MACHINES_DELETE: &str = "/hosts/delete";
/// Keys of the state service.
pub const KEYS: &str = "/keys";
/// Transactions of the state service.
pub const TXN: &str = "/txn";
/// Leases of the state service.
pub const LEASES: &str = "/leases";
/// Suffix of a lease's path for requests to renew the lease.
pub const RENEW_SUFFIX: &str = "/renew";
/// Watches of the state service.
pub const WATCH: &str = "/follow";
