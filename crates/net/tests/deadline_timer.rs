//! Deadline timer of an actor, in virtual time.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use lycheedoor_core::types::MonoTime;
use lycheedoor_net::DeadlineTimer;
use stakker::CX;
use stakker::Stakker;
use stakker::actor;
use stakker::after;
use stakker::call;
use stakker::ret_nop;

const TIMER_INTERVAL: Duration = Duration::from_millis(10);

/// An actor that replaces its timer after each event, as the actors that drive the decision logic
/// do.
struct TimerActor {
    timer: DeadlineTimer,
    next_deadline: MonoTime,
    fired_count: Rc<Cell<u32>>,
}

impl TimerActor {
    fn init(cx: CX![], fired_count: Rc<Cell<u32>>) -> Option<Self> {
        let mut this = Self {
            timer: DeadlineTimer::default(),
            next_deadline: MonoTime::ZERO,
            fired_count,
        };
        this.handle_event(cx);
        Some(this)
    }

    fn handle_event(&mut self, cx: CX![]) {
        self.next_deadline += TIMER_INTERVAL;
        let timer = after!(TIMER_INTERVAL, [cx], handle_deadline());
        self.timer.replace(cx, self.next_deadline, timer);
    }

    fn handle_deadline(&mut self, cx: CX![]) {
        self.timer.clear(cx);
        self.fired_count.set(self.fired_count.get() + 1);
        self.handle_event(cx);
    }
}

/// Guards against timers that multiply. An event handled in the iteration in which the timer
/// expires replaces a timer whose call is already queued. Each such iteration left one more timer,
/// and each of these set another one for the rest of the process's life.
#[test]
fn event_in_the_iteration_of_the_deadline_leaves_one_timer() {
    let start = Instant::now();
    let mut stakker = Stakker::new(start);
    let fired_count = Rc::new(Cell::new(0));
    let actor = actor!(
        &mut stakker,
        TimerActor::init(fired_count.clone()),
        ret_nop!()
    );
    stakker.run(start, false);

    let iterations = 50;
    for iteration in 1..=iterations {
        call!([actor], handle_event());
        stakker.run(start + TIMER_INTERVAL * 2 * iteration, false);
    }

    assert!(
        fired_count.get() <= iterations,
        "deadline handled {} times in {iterations} iterations",
        fired_count.get()
    );
}
