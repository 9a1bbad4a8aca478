//! Admission quotas at a controller: admission of jobs, transfers of quota units between controllers, and the
//! controller's presence in the store.

pub(crate) mod quota_admission;
pub(crate) mod quota_presence;
pub(crate) mod quota_transfers;
