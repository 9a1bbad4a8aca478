//! Commands for operators: a report on quotas (limits, usage and allotments as stored), and the removal of the stored
//! quota settings.

use std::cell::RefCell;
use std::fmt::Write;
use std::rc::Rc;

use quota::{AccountId, AllotmentRecord, Ledger, QuotaSettings};

use crate::admission_quota::store_mapping::key_of;
use crate::config::Config;
use crate::protocol::store::{Change, Condition, Txn};
use crate::runtime::{Runtime, Scope};
use crate::store::client::{StoreClient, StoreError};
use crate::store::keys;
use crate::store::replica::StateReplica;
use crate::store::transaction::TxnOutcome;

/// Why a command of this module failed.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// The features file enables no quotas.
    #[error("quotas are not enabled: the features file has no section quota")]
    NotEnabled,
    /// A call to the state service failed.
    #[error("state service: {0}")]
    Store(#[source] StoreError),
    /// The event loop stopped before the state service answered.
    #[error("state service: no answer")]
    NoAnswer,
    /// The event loop could not be created or run.
    #[error(transparent)]
    Loop(#[from] calloop::Error),
}

/// Reads the quota accounts and the jobs from the state service. Returns the text of the report on them.
pub fn report(config: Config) -> Result<String, ReportError> {
    let settings = config
        .features
        .quota
        .clone()
        .ok_or(ReportError::NotEnabled)?;
    let ledger = with_store(config, |store| async move { read_ledger(&store).await })?;
    Ok(text(&settings, &ledger))
}

/// Deletes the stored quota settings, so that controllers without quotas in their features file become ready. A leader
/// whose features file enables quotas stores its settings again. Returns the text to print.
pub fn end(config: Config) -> Result<String, ReportError> {
    with_store(config, |store| async move { delete_settings(&store).await })
}

async fn delete_settings(store: &StoreClient) -> Result<String, StoreError> {
    let settings = key_of(&AccountId::Settings);
    let Some(stored) = store.get(&settings).await? else {
        return Ok("no quotas are in force".into());
    };
    let txn = Txn {
        conditions: vec![Condition {
            key: settings.clone(),
            revision: stored.revision,
        }],
        changes: vec![Change::Delete { key: settings }],
    };
    Ok(match store.txn(&txn).await {
        TxnOutcome::Applied(_) => "quotas are no longer in force".into(),
        _ => "the settings have changed meanwhile, or the state service gave no answer: look again"
            .into(),
    })
}

/// Runs `operation` with a client of the state service on an event loop of its own, and returns its result.
fn with_store<T: 'static, F: Future<Output = Result<T, StoreError>> + 'static>(
    config: Config,
    operation: impl FnOnce(StoreClient) -> F,
) -> Result<T, ReportError> {
    let outcome: Rc<RefCell<Option<Result<T, StoreError>>>> = Rc::default();
    let result = outcome.clone();
    Runtime::run::<calloop::Error>(move |runtime| {
        let root = Scope::new(runtime);
        let runtime = runtime.clone();
        let operation = operation(StoreClient::new(&runtime, config.services.state, &config));
        root.spawn(async move {
            *result.borrow_mut() = Some(operation.await);
            runtime.stop();
        });
        Ok(root)
    })?;
    match outcome.take() {
        Some(Ok(value)) => Ok(value),
        Some(Err(error)) => Err(ReportError::Store(error)),
        None => Err(ReportError::NoAnswer),
    }
}

/// Reads all records of the state service, page by page, since usage is computed from the jobs.
async fn read_ledger(store: &StoreClient) -> Result<Ledger, StoreError> {
    let mut replica = StateReplica::with_quota();
    let mut after = String::new();
    loop {
        let page = store.list(keys::ROOT, &after).await?;
        for item in &page.items {
            replica.apply(&item.key, Some(&item.value), item.revision);
        }
        match page.items.last() {
            Some(last) if page.truncated => after = last.key.clone(),
            _ => break,
        }
    }
    Ok(replica.quota.unwrap_or_default())
}

/// The text of the report on a ledger; `settings` are those of the features file.
pub fn text(settings: &QuotaSettings, ledger: &Ledger) -> String {
    let mut out = String::new();
    // Writing to a string cannot fail.
    let _ = write_report(&mut out, settings, ledger);
    out
}

fn write_report(out: &mut String, settings: &QuotaSettings, ledger: &Ledger) -> std::fmt::Result {
    match ledger.settings() {
        None => writeln!(out, "settings: none in force")?,
        Some((record, _)) => {
            let state = match (record.digest == settings.digest(), record.open) {
                (false, _) => "not those of this file",
                (true, false) => "being put in force",
                (true, true) => "in force",
            };
            let (digest, generation) = (&record.digest, record.generation);
            writeln!(out, "settings: {digest}, generation {generation}, {state}")?;
        }
    }
    writeln!(out, "total: {}", settings.total())?;
    let shared_free = ledger.shared_free();
    writeln!(
        out,
        "free to be lent: {}",
        shared_free.map_or("-".into(), |free| free.to_string())
    )?;
    let mut names: Vec<Rc<str>> = ledger.team_names().cloned().collect();
    names.extend(settings.teams().map(|(name, _)| name.into()));
    names.sort_unstable();
    names.dedup();
    for name in names {
        write_team(out, settings, ledger, &name)?;
    }
    Ok(())
}

fn write_team(
    out: &mut String,
    settings: &QuotaSettings,
    ledger: &Ledger,
    name: &str,
) -> std::fmt::Result {
    let team = settings.team(name);
    writeln!(
        out,
        "team {name}: guaranteed {}, limit {}",
        team.guaranteed, team.limit
    )?;
    let Some(usage) = ledger.team_usage(name) else {
        return Ok(());
    };
    writeln!(
        out,
        "  used {}, holds {}, free {}",
        usage.used, usage.held, usage.free
    )?;
    for quota::AllotmentUsage { node, record, used } in usage.allotments {
        let owner = match record.incarnation {
            AllotmentRecord::UNOWNED => ", reclaimed",
            _ if ledger.is_present(&node) => "",
            _ => ", its controller is away",
        };
        writeln!(
            out,
            "  allotment of {node}: {}, used {used}{owner}",
            record.size
        )?;
    }
    Ok(())
}
