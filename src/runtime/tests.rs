//! Tests of `runtime`.

use super::*;

/// Records when it is dropped.
struct Guard(Rc<Log>, &'static str);

#[derive(Default)]
struct Log {
    ended: RefCell<Vec<&'static str>>,
    more: Signal,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.ended.borrow_mut().push(self.1);
        self.0.more.set();
    }
}

#[test]
fn a_turn_far_longer_than_the_wait_is_a_pause_and_a_long_wait_is_none() {
    let wait = |s| Some(Duration::from_secs_f64(s));
    assert_eq!(ProcessPause::detect(10.0, 15.2, wait(5.0)), None);
    assert_eq!(ProcessPause::detect(10.0, 50.0, None), None);
    let pause = ProcessPause::detect(10.0, 15.2, wait(0.2)).unwrap();
    assert_eq!(pause.until, 15.2);
    assert!((pause.length_s - 5.2).abs() < 1e-9);
}

#[test]
fn a_scope_that_ends_takes_its_routines_and_theirs_along() {
    let ended: Rc<Log> = Rc::default();
    let seen = ended.clone();
    Runtime::run::<calloop::Error>(move |runtime| {
        let (runtime, root) = (runtime.clone(), Scope::new(runtime));
        let parent = Scope::new(&runtime);
        let started = Rc::new(Signal::default());
        let (inner_runtime, inner_started, log) = (runtime.clone(), started.clone(), ended.clone());
        parent.spawn(async move {
            let _guard = Guard(log.clone(), "parent");
            let children = Scope::new(&inner_runtime);
            children.spawn(async move {
                let _guard = Guard(log, "child");
                inner_started.set();
                std::future::pending::<()>().await;
            });
            std::future::pending::<()>().await;
        });
        root.spawn(async move {
            started.wait().await;
            drop(parent);
            while ended.ended.borrow().len() < 2 {
                ended.more.take().await;
            }
            runtime.stop();
        });
        Ok(root)
    })
    .unwrap();
    assert_eq!(*seen.ended.borrow(), ["parent", "child"]);
}
