//! Tests of process pauses and scopes.

use super::*;

/// Adds its name to the log when it is dropped.
struct DropGuard(Rc<DropLog>, &'static str);

#[derive(Default)]
struct DropLog {
    names: RefCell<Vec<&'static str>>,
    /// Set when a name is added.
    name_added: Signal,
}

impl Drop for DropGuard {
    fn drop(&mut self) {
        self.0.names.borrow_mut().push(self.1);
        self.0.name_added.set();
    }
}

#[test]
fn only_an_iteration_far_longer_than_its_maximum_wait_is_a_process_pause() {
    let wait = |seconds| Some(Duration::from_secs_f64(seconds));
    assert_eq!(ProcessPause::detect(10.0, 15.2, wait(5.0)), None);
    assert_eq!(ProcessPause::detect(10.0, 50.0, None), None);
    let pause = ProcessPause::detect(10.0, 15.2, wait(0.2)).unwrap();
    assert_eq!(pause.until, 15.2);
    assert!((pause.length_s - 5.2).abs() < 1e-9);
}

#[test]
fn dropping_a_scope_cancels_its_routines_and_the_scopes_they_own() {
    let log: Rc<DropLog> = Rc::default();
    let log_after_run = log.clone();
    Runtime::run::<calloop::Error>(move |runtime| {
        let (runtime, root) = (runtime.clone(), Scope::new(runtime));
        let parent = Scope::new(&runtime);
        let started = Rc::new(Signal::default());
        let (inner_runtime, inner_started, inner_log) =
            (runtime.clone(), started.clone(), log.clone());
        parent.spawn(async move {
            let _guard = DropGuard(inner_log.clone(), "parent");
            let children = Scope::new(&inner_runtime);
            children.spawn(async move {
                let _guard = DropGuard(inner_log, "child");
                inner_started.set();
                std::future::pending::<()>().await;
            });
            std::future::pending::<()>().await;
        });
        root.spawn(async move {
            started.wait().await;
            drop(parent);
            while log.names.borrow().len() < 2 {
                log.name_added.take().await;
            }
            runtime.stop();
        });
        Ok(root)
    })
    .unwrap();
    assert_eq!(*log_after_run.names.borrow(), ["parent", "child"]);
}
